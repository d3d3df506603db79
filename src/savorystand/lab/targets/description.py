"""What a process of stand-in targets is told to run."""

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
    """A call that a target makes through its own node.

    ``keyed`` is set for non-idempotent routes, which need a key.
    """

    method: str
    path: str
    keyed: bool = False


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Work:
    """What a target does for a request of one route, told by its match.

    Own work takes ``mean_ms`` plus or minus up to ``spread`` of it.
    """

    match: str
    mean_ms: float
    spread: float = 0.3
    downstream: tuple[Downstream, ...] = ()


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TargetDescription:
    """One target: its place, its own node and its work.

    ``connection_ms`` is the cost of a new connection. For ``cold_ms`` after
    its start a target takes three times as long.
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


def targets_from(path: Path) -> tuple[TargetDescription, ...]:
    """Read the descriptions from a JSON file.

    Raises:
        OSError: the file cannot be read.
        ValueError: it is no JSON document.
    """
    rows = json.loads(path.read_text())
    return tuple(_target(row) for row in rows)


def _target(row: Document) -> TargetDescription:
    work = tuple(_work(entry) for entry in row.pop('work'))
    address = Address(**row.pop('address'))
    node = Address(**row.pop('node'))
    return TargetDescription(work=work, address=address, node=node, **row)


def _work(row: Document) -> Work:
    downstream = tuple(Downstream(**entry) for entry in row.pop('downstream'))
    return Work(downstream=downstream, **row)
