"""Bounds the calls that start at the local target to the rate it names."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Importance
from savorystand.clock import MS_PER_SECOND
from savorystand.target_notice import RateNamed
from savorystand.target_notice import RateOmitted
from savorystand.target_notice import RateUnreadable
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.clock import Clock
    from savorystand.target_notice import RateStatement

# Calls that may start at once after a pause, as the time in which the limit
# allows them, and their minimum number.
_BURST_MS = 250
_MIN_BURST = 2
# Part of the burst that the least important calls leave to the others.
_RESERVED_FRACTION = 0.75
# Only a response shows that a limit has ended, so that even a target that
# takes nothing gets a call every four seconds.
_MIN_PER_SECOND = 0.25
_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 5000


@final
@dataclass(slots=True, kw_only=True)
class RateUsage:
    """Calls started and refused at the target since the last report.

    ``repeated`` counts the started ones with the request id of another.
    """

    started: int = 0
    repeated: int = 0
    refused: int = 0
    _request_ids: set[str] = field(default_factory=set)

    def record_start(self, request_id: str) -> None:
        """Count a call that starts."""
        self.started += 1
        self.repeated += request_id in self._request_ids
        self._request_ids.add(request_id)


@final
class RateLimit:
    """Token bucket at the rate that the local target takes from all nodes.

    All calls to the target pass this node, so that no other node has to know
    the limit for it to hold. Less important calls find the bucket empty
    earlier than more important ones.
    """

    __slots__ = (
        '_burst',
        '_clock',
        '_confirmed',
        '_named_ms',
        '_per_second',
        '_refilled_ms',
        '_tokens',
        '_usage',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start without a limit."""
        self._clock = clock
        self._per_second: float | None = None
        # False until the target itself has made a statement.
        self._confirmed = False
        self._named_ms = float('-inf')
        self._burst = float(_MIN_BURST)
        self._tokens = float(0)
        self._refilled_ms = clock.now()
        self._usage = RateUsage()

    def current(self) -> float | None:
        """Return the limit in calls a second, None without a limit."""
        return self._per_second

    def forget(self) -> None:
        """Remove the limit: another target has taken the place of this one."""
        self._confirmed = False
        self._set(None)

    def doubt(self) -> None:
        """Keep the limit until the target, which has restarted, responds."""
        self._confirmed = False

    def assume(self, per_second: float) -> bool:
        """Apply a limit that a caller remembers, until the target responds.

        Return True if the limit changed.
        """
        if self._confirmed or per_second == self._per_second:
            return False
        self._set(per_second)
        return True

    def apply(self, statement: RateStatement, *, sent_ms: float) -> bool:
        """Apply the statement of a response; return True if the limit changed.

        A response without a limit ends the limit only if its request was sent,
        at ``sent_ms``, after the limit was named last: responses to earlier
        requests may have been overtaken.
        """
        previous = self._per_second
        match statement:
            case RateNamed(per_second=per_second):
                self._named_ms = self._clock.now()
                self._set(per_second)
            case RateOmitted():
                if self._named_ms <= sent_ms:
                    self._set(None)
            case RateUnreadable():
                return False
        self._confirmed = True
        return previous != self._per_second

    def refusal(self, importance: Importance) -> NotRun | None:
        """Return a refusal if a call may not start now, None if it may."""
        if self._per_second is None:
            return None
        self._refill()
        missing = self._needed(importance) - self._tokens
        if missing <= 0:
            return None
        wait_ms = MS_PER_SECOND * missing / self._refill_rate()
        self._usage.refused += 1
        bounded = min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)
        limit = format(self._per_second, 'g')
        return NotRun(
            reason=Reason.RATE_LIMITED,
            detail=f'target takes {limit} calls a second',
            retry_after_ms=int(bounded),
        )

    def record_start(self, call: Call) -> None:
        """Count a call that starts."""
        if self._per_second is None:
            return
        self._refill()
        self._tokens -= 1
        self._usage.record_start(call.context.request_id)

    def reset_usage(self) -> RateUsage:
        """Return the counts since the last reset, and start new ones."""
        usage = self._usage
        self._usage = RateUsage()
        return usage

    def _set(self, per_second: float | None) -> None:
        if per_second == self._per_second:
            return
        self._refill()
        if self._per_second is None:
            # The calls before the limit have used what a pause would allow.
            self._tokens = 0
        self._per_second = per_second
        self._burst = max(
            _MIN_BURST, self._refill_rate() * _BURST_MS / MS_PER_SECOND
        )
        self._tokens = min(self._tokens, self._burst)

    def _refill(self) -> None:
        now = self._clock.now()
        gained = self._refill_rate() * (now - self._refilled_ms) / MS_PER_SECOND
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_ms = now

    def _refill_rate(self) -> float:
        return max(self._per_second or 0, _MIN_PER_SECOND)

    def _needed(self, importance: Importance) -> float:
        ranks_above = Importance.CRITICAL - importance
        reserved = _RESERVED_FRACTION * ranks_above / Importance.CRITICAL
        return 1 + reserved * (self._burst - 1)
