"""Configuration of a process of stand-in targets."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import final

from savorystand.settings.node import Address

if TYPE_CHECKING:
    from pathlib import Path

Document: TypeAlias = dict[str, Any]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Downstream:
    """A downstream call that a target makes through its node.

    ``keyed`` is set for non-idempotent routes, which need a key.
    """

    method: str
    path: str
    keyed: bool = False


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Work:
    """Work of a target for a request of one route, given by its match.

    The work without downstream calls takes a uniformly distributed time of
    ``mean_ms`` plus or minus up to the fraction ``spread`` of it.
    """

    match: str
    mean_ms: float
    spread: float = 0.3
    downstream: tuple[Downstream, ...] = ()


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TargetDescription:
    """One target: its address, the address of its node, and its work.

    The first request of each connection takes ``connection_ms`` longer. For
    ``cold_ms`` after its start a target takes three times as long.
    """

    name: str
    pool: str
    address: Address
    node: Address
    slots: int
    work: tuple[Work, ...]
    seed: int = 0
    connection_ms: float = 1
    cold_ms: float = 0


def load_targets(path: Path) -> tuple[TargetDescription, ...]:
    """Read target descriptions from a JSON file.

    Raises:
        OSError: the file cannot be read.
        ValueError: the file is not a JSON document.
    """
    rows = json.loads(path.read_text())
    return tuple(_parse_target(row) for row in rows)


def _parse_target(row: Document) -> TargetDescription:
    work = tuple(_parse_work(entry) for entry in row.pop('work'))
    address = Address(**row.pop('address'))
    node = Address(**row.pop('node'))
    return TargetDescription(work=work, address=address, node=node, **row)


def _parse_work(row: Document) -> Work:
    downstream = tuple(Downstream(**entry) for entry in row.pop('downstream'))
    return Work(downstream=downstream, **row)
