"""What a target says about itself in its responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Incarnation:
    """One life of a target: its instance id and the wall time of its start.

    A target may restart under the same id. ``started_ms`` is in milliseconds
    since the Unix epoch, 0 if the target does not announce it.
    """

    instance: str
    started_ms: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RateNamed:
    """The target takes ``per_second`` calls a second from all nodes."""

    per_second: float


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RateOmitted:
    """The target names no limit."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RateUnreadable:
    """The target names a limit that cannot be decoded."""


RateStatement: TypeAlias = RateNamed | RateOmitted | RateUnreadable


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TargetNotice:
    """The notices in the headers of one response.

    ``incarnation`` is that of the target to which the request was sent at
    ``sent_ms``, a time of the local clock.
    """

    incarnation: Incarnation
    sent_ms: float
    rate: RateStatement
    leaving: bool


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TargetHint:
    """What a caller remembers of the target at an address.

    It is sent with calls to a node that has restarted since, and has
    forgotten it. ``rate_limit`` is in calls a second, None without a limit;
    ``left`` is an incarnation that has said that it leaves.
    """

    rate_limit: float | None = None
    left: Incarnation | None = None
