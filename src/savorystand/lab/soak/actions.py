"""Faults and changes of a soak, drawn at random."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.lab.soak.crowd import Press
from savorystand.lab.soak.fault import Fault
from savorystand.lab.soak.link import LinkState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

_DIGITS = 64
_LONG_DIGITS = '9' * _DIGITS
_UNREADABLE_LIMITS = ('-1', 'nan', 'x', '10, x', _LONG_DIGITS, '')
# Ranges in milliseconds.
_DOWN_MS = (100, 2000)
_DARK_MS = (1000, 4000)
_FREEZE_MS = (200, 4000)
_SHORT_MS = (200, 2000)
_FAULT_MS = (500, 4500)
# Long enough to count: a limit holds from three seconds after it is named.
_LIMIT_MS = (7000, 14000)
# Below the usual rate of calls at a target.
_LIMIT_PER_SECOND = (1, 12)
_FAULTS = tuple(fault for fault in Fault if fault is not Fault.NONE)
_BAD_LINKS = (LinkState.DELAYED, LinkState.SILENT, LinkState.ONE_WAY)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Kill:
    """Kill a node; without power its address does not respond meanwhile."""

    node: int
    down_ms: float
    has_power: bool = True


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Stop:
    """Stop a node as planned."""

    node: int
    down_ms: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Freeze:
    """Pause a node."""

    node: int
    duration_ms: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Reload:
    """Send SIGHUP to a node."""

    node: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NameLimit:
    """A target names a rate limit, which may be unreadable."""

    node: int
    limit: str
    duration_ms: float


@final
class Departure(Enum):
    """How a target says that it leaves, besides its responses.

    With ``KILLED`` it deregisters, and its responses do not say so. Its node is
    killed once it has acknowledged that, and an announcement arrives late. With
    ``RESTARTED`` it does so right after a restart under its id, of which the
    node hears nothing before the late announcement. With ``REUSED`` it falls
    silent, and its address goes to a target of another pool.
    """

    ANNOUNCED = 'announced'
    DEREGISTERED = 'deregistered'
    UNANNOUNCED = 'unannounced'
    KILLED = 'killed'
    RESTARTED = 'restarted'
    REUSED = 'reused'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Leave:
    """A target leaves, and another takes its place."""

    node: int
    how: Departure


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Restart:
    """A target crashes and starts again under its id."""

    node: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Misbehave:
    """A target garbles or delays its responses."""

    node: int
    fault: Fault
    slowdown: float
    duration_ms: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class BreakLink:
    """The link to a target, or without ``node`` to the store, is bad."""

    node: int | None
    state: LinkState
    duration_ms: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Configure:
    """The configuration changes."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Restore:
    """The store is away and comes back from a copy."""

    down_ms: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Forge:
    """Another writer sends malformed announcements to a node."""

    node: int


TargetAction: TypeAlias = NameLimit | Leave | Restart | Misbehave
Signal: TypeAlias = Kill | Stop | Freeze | Reload
StoreAction: TypeAlias = Configure | Restore
Action: TypeAlias = (
    BreakLink | Forge | Press | Signal | StoreAction | TargetAction
)


def draw_action(rng: random.Random, nodes: int) -> Action:
    """Return a random action on one of ``nodes`` nodes."""
    node = rng.randrange(nodes)
    draws: tuple[Callable[[], Action], ...] = (
        lambda: Kill(node=node, down_ms=rng.uniform(*_DOWN_MS)),
        lambda: Stop(node=node, down_ms=rng.uniform(*_DOWN_MS)),
        lambda: Freeze(node=node, duration_ms=rng.uniform(*_FREEZE_MS)),
        lambda: Reload(node=node),
        lambda: NameLimit(
            node=node,
            limit=format(rng.uniform(*_LIMIT_PER_SECOND), '.2f'),
            duration_ms=rng.uniform(*_LIMIT_MS),
        ),
        lambda: NameLimit(
            node=node,
            limit=rng.choice(_UNREADABLE_LIMITS),
            duration_ms=rng.uniform(*_SHORT_MS),
        ),
        lambda: Leave(node=node, how=rng.choice(tuple(Departure))),
        lambda: Restart(node=node),
        lambda: Misbehave(
            node=node,
            fault=rng.choice(_FAULTS),
            slowdown=rng.choice((1, 4)),
            duration_ms=rng.uniform(*_FAULT_MS),
        ),
        lambda: BreakLink(
            node=rng.choice((node, None)),
            state=rng.choice(_BAD_LINKS),
            duration_ms=rng.uniform(*_FAULT_MS),
        ),
        Configure,
        lambda: Forge(node=node),
        lambda: Restore(down_ms=rng.uniform(*_DOWN_MS)),
        lambda: Kill(
            node=node, down_ms=rng.uniform(*_DARK_MS), has_power=False
        ),
        lambda: Press(node=node, duration_ms=rng.uniform(*_FAULT_MS)),
    )
    # Rate limits and departures last long and are drawn more often.
    weights = (1, 2, 1, 1, 3, 1, 3, 1, 2, 1, 2, 1, 1, 2, 2)
    return rng.choices(draws, weights)[0]()
