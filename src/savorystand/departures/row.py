"""Encoding of departures in the row of a node."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from savorystand.departures.departure import Departure
from savorystand.transport.bounds import MAX_NAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

_DECODE_ERRORS = (RecursionError, TypeError, ValueError)
# Each entry is a list of the instance id, the start time and 0 or 1.
_FIELD_TYPES = (str, int, int)


def encode_departures(departures: Iterable[Departure]) -> bytes:
    """Return departures as JSON, empty without any."""
    entries = [
        (departure.instance, departure.started_ms, int(departure.earlier))
        for departure in departures
    ]
    if not entries:
        return b''
    return json.dumps(entries, separators=(',', ':')).encode()


def decode_departures(payload: bytes) -> tuple[Departure, ...]:
    """Return the departures of a row; skip what another writer left there."""
    if not payload:
        return ()
    try:
        return tuple(_decode_entries(json.loads(payload)))
    except _DECODE_ERRORS:
        return ()


def _decode_entries(entries: list[Any]) -> Iterator[Departure]:
    for entry in entries:
        if not isinstance(entry, list):
            continue
        if tuple(map(type, entry)) != _FIELD_TYPES:
            continue
        instance, started_ms, earlier = entry
        if 0 < len(instance) <= MAX_NAME_BYTES:
            yield Departure(
                instance=instance, started_ms=started_ms, earlier=bool(earlier)
            )
