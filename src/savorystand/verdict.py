"""Refusals and their verdicts: whether a refused request may have run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias
from typing import final


@final
class Reason(Enum):
    """Why a request was refused."""

    NO_ROUTE = 'no-route'
    KEY_REQUIRED = 'key-required'
    KEY_REUSED = 'key-reused'
    IN_PROGRESS = 'in-progress'
    OVERLOADED = 'overloaded'
    # The target takes fewer calls a second than it is sent.
    RATE_LIMITED = 'rate-limited'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    UNAVAILABLE = 'unavailable'
    NO_TARGET = 'no-target'
    DRAINING = 'draining'
    CONNECTION_LOST = 'connection-lost'
    HOME_LOST = 'home-lost'
    FORGOTTEN = 'forgotten'
    STORE_UNAVAILABLE = 'store-unavailable'
    TARGET_FAILED = 'target-failed'
    TARGET_REFUSED = 'target-refused'
    TOO_LARGE = 'too-large'
    # A node cannot take a call as another one has passed it on.
    INVALID_CALL = 'invalid-call'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NotRun:
    """The target has not seen the request and will not see this attempt.

    ``retries_left`` is the retry budget that the refusing hop returns.
    ``from_below`` is True if a downstream hop failed and has used up its
    retries.
    """

    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0
    retries_left: int = 0
    from_below: bool = False


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class MayHaveRun:
    """The target may have seen all or part of the request.

    The fields have the same meaning as in ``NotRun``.
    """

    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0
    retries_left: int = 0
    from_below: bool = False


Refusal: TypeAlias = NotRun | MayHaveRun


def refuse_undispatched(
    reason: Reason, *, detail: str, no_earlier_run: bool
) -> Refusal:
    """Return the refusal of an attempt that no target has seen.

    The verdict applies to the request and not only to this attempt: unless
    ``no_earlier_run`` states that no earlier attempt ran, the request may have
    run.
    """
    if no_earlier_run:
        return NotRun(reason=reason, detail=detail)
    return MayHaveRun(reason=reason, detail=detail)


def verdict_name(refusal: Refusal) -> str:
    """Return the verdict as written in headers, bodies and logs."""
    match refusal:
        case NotRun():
            return 'not-run'
        case MayHaveRun():
            return 'may-have-run'
