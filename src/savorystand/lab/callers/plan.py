"""What a process of stand-in callers is told to send."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.lab.callers.curves import Curve
from savorystand.lab.callers.curves import Steady
from savorystand.lab.callers.curves import curve_from
from savorystand.settings.node import Address

if TYPE_CHECKING:
    from pathlib import Path


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Stream:
    """Requests of one kind.

    ``rate`` is the nominal rate a second over all caller processes;
    ``own_keys`` the share of requests with a key of the caller's own.
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
    """Streams, the entry nodes, and how the callers behave.

    ``start_ms`` is monotonic time, which all processes of a machine share.
    Hard callers retry at once; polite ones honour ``Retry-After``. Each
    process takes every ``shares``-th request, starting at ``share``.
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
    """Write a plan as JSON.

    Raises:
        OSError: the file cannot be written.
    """
    path.write_text(json.dumps(asdict(plan)))


def plan_from(path: Path) -> Plan:
    """Read a plan from a JSON file.

    Raises:
        OSError: the file cannot be read.
        ValueError: it is no JSON document.
    """
    row = json.loads(path.read_text())
    streams = tuple(
        Stream(**{**stream, 'curve': curve_from(stream['curve'])})
        for stream in row.pop('streams')
    )
    entries = tuple(Address(**entry) for entry in row.pop('entries'))
    return Plan(streams=streams, entries=entries, **row)
