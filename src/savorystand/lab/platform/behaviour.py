"""Configurable faults and request counters of the platform stand-in."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
from dataclasses import replace
from typing import Any
from typing import final

OUTAGES = ('none', 'error', 'close', 'silent')
# The era is the number of times that the stores came back from a copy.
COUNTED_ERA = 'counted'


class BehaviourError(Exception):
    """A control document is malformed or has an invalid setting."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Behaviour:
    """Faults of the stand-in, changed with ``POST /control``.

    ``outage``: ``error`` responds with status 503, ``close`` closes the
    connection, ``silent`` holds requests until the outage ends and then
    closes the connection. No write is applied during an outage.
    ``lose_share``: fraction of writes that are applied but whose connection
    is closed without a response. ``lose_next``: number of following writes
    to which the same happens. ``late_ms``: delay in ms after the close at
    which such writes are applied. ``reads_limit`` and ``writes_limit``:
    requests per second above which the stand-in responds with status 429; 0
    means no limit. ``era``: header ``Store-Era`` of all responses, empty for
    none.

    Four control documents are commands rather than settings:
    ``{"silence_open": true}`` leaves requests on the connections seen so far
    without a response, while new connections work;
    ``{"forget_history": true}`` drops the changes that the feed holds;
    ``{"keep_copy": true}`` copies the stores, and ``{"restore": true}`` goes
    back to the last copy.
    """

    latency_ms: float = 0
    jitter_ms: float = 0
    outage: str = 'none'
    lose_share: float = 0
    lose_next: int = 0
    late_ms: float = 0
    reads_limit: int = 0
    writes_limit: int = 0
    era: str = COUNTED_ERA

    def changed(self, document: object) -> Behaviour:
        """Return a copy with the settings of a control document.

        Raises:
            BehaviourError: the document is not an object, or a setting is
                unknown or invalid.
        """
        if not isinstance(document, dict):
            raise BehaviourError('the control document is not a JSON object')
        for name, entry in document.items():
            _check_setting(name, entry)
        return replace(self, **document)

    def document(self) -> dict[str, Any]:
        """Return all settings by name, for the control response."""
        return asdict(self)


def _check_setting(name: str, entry: object) -> None:
    if name == 'outage':
        valid = entry in OUTAGES
    elif name == 'era':
        valid = isinstance(entry, str)
    elif name in {setting.name for setting in fields(Behaviour)}:
        valid = _is_non_negative_number(entry)
    else:
        raise BehaviourError(f'unknown setting {name}')
    if not valid:
        raise BehaviourError(f'invalid setting for {name}: {entry!r}')


def _is_non_negative_number(entry: object) -> bool:
    if isinstance(entry, bool) or not isinstance(entry, int | float):
        return False
    return entry >= 0


class RateCounter:
    """Counts requests of one kind, in total and per second."""

    __slots__ = (
        '_current_second',
        '_count_this_second',
        'peak_per_second',
        'total',
    )

    def __init__(self) -> None:
        """Start with no requests counted."""
        self.total = 0
        self.peak_per_second = 0
        self._current_second = -1
        self._count_this_second = 0

    def add(self, number: int, *, second: int, limit: int) -> bool:
        """Count ``number`` requests in ``second``.

        Return False, without counting, if they exceed ``limit`` requests in
        that second; 0 means no limit.
        """
        if second != self._current_second:
            self._current_second = second
            self._count_this_second = 0
        if limit and self._count_this_second + number > limit:
            return False
        self._count_this_second += number
        self.total += number
        self.peak_per_second = max(
            self.peak_per_second, self._count_this_second
        )
        return True

    def document(self) -> dict[str, int]:
        """Return the counts for the control response."""
        return {'total': self.total, 'peak_per_second': self.peak_per_second}
