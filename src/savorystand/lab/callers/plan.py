"""Load plan of a process of stand-in callers."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.lab.callers.curves import Curve
from savorystand.lab.callers.curves import Steady
from savorystand.lab.callers.curves import parse_curve
from savorystand.settings.node import Address

if TYPE_CHECKING:
    from pathlib import Path


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Stream:
    """Requests of one kind.

    ``rate`` is the nominal rate in requests per second over all caller
    processes, ``own_keys`` the fraction of requests whose key is chosen by
    the caller instead of issued by a node.
    """

    name: str
    method: str
    path: str
    rate: float
    keyed: bool = False
    body_bytes: int = 0
    deadline_ms: int = 3000
    own_keys: float = 0
    curve: Curve = field(default_factory=Steady)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """Streams, entry nodes and retry behaviour of the callers.

    ``start_ms`` is a time of the monotonic clock, which all processes of a
    machine share. ``latency_ms`` is the one-way delay between a caller and a
    node. ``hard`` callers retry at once, others wait as ``Retry-After`` asks.
    Each process sends every ``shares``-th request, starting at ``share``.
    """

    streams: tuple[Stream, ...]
    entries: tuple[Address, ...]
    seed: int
    start_ms: float
    duration_ms: float
    latency_ms: float = 1
    hard: bool = False
    max_retries: int = 2
    share: int = 0
    shares: int = 1


def write_plan(plan: Plan, path: Path) -> None:
    """Write a plan to a JSON file.

    Raises:
        OSError: the file cannot be written.
    """
    path.write_text(json.dumps(asdict(plan)))


def load_plan(path: Path) -> Plan:
    """Read a plan from a JSON file.

    Raises:
        OSError: the file cannot be read.
        ValueError: the file is not a JSON document or has an unknown curve.
    """
    row = json.loads(path.read_text())
    streams = tuple(
        Stream(**{**stream, 'curve': parse_curve(stream['curve'])})
        for stream in row.pop('streams')
    )
    entries = tuple(Address(**entry) for entry in row.pop('entries'))
    return Plan(streams=streams, entries=entries, **row)
