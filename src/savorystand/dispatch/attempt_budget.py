"""Remaining retries and failovers of one call."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import final

from expression import Error
from expression import Result

from savorystand.call import Answered
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import Refusal

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.retry.policy import RetryPolicy


# Leaving or unreachable targets that one call may skip without a retry.
_MAX_FAILOVERS = 3
# Targets that one call may be refused by because of their rate limits.
_MAX_RATE_REFUSALS = 8
_FAILOVER_REASONS = frozenset(
    (
        Reason.DRAINING,
        Reason.TARGET_FAILED,
        Reason.UNAVAILABLE,
    )
)


@final
class AttemptBudget:
    """Retry budget of a call, and the refusals of its attempts."""

    __slots__ = (
        '_may_have_run',
        '_failovers',
        '_not_run',
        '_policy',
        '_rate_refusals',
        'retries',
        'tried',
    )

    def __init__(self, *, policy: RetryPolicy, retries: int) -> None:
        """Start with ``retries`` retries and no targets tried."""
        self._policy = policy
        self.retries = retries
        self._failovers = _MAX_FAILOVERS
        self._rate_refusals = 0
        self.tried: frozenset[str] = frozenset()
        self._may_have_run: MayHaveRun | None = None
        self._not_run: NotRun | None = None

    def take_retries(self) -> int:
        """Take and return the retries to send with the next attempt."""
        attempt_retries = self._policy.retries_for_attempt(self.retries)
        self.retries -= attempt_retries
        return attempt_retries

    @property
    def is_rate_limited(self) -> bool:
        """Return True if a target has refused the call by its rate limit."""
        return self._rate_refusals > 0

    def use_failover(self, refusal: Refusal) -> bool:
        """Return True if the next attempt after ``refusal`` needs no retry.

        A target that was not reached or is leaving has done no work, and
        calls without retries have to survive a planned stop. Each time
        it returns True, one of the ``_MAX_FAILOVERS`` of the call is used.
        What the rate limit of a target leaves uncovered belongs to the others.
        """
        match refusal:
            case NotRun(reason=Reason.RATE_LIMITED, from_below=False):
                self._rate_refusals += 1
                return self._rate_refusals < _MAX_RATE_REFUSALS
            case NotRun(from_below=False) if (
                refusal.reason in _FAILOVER_REASONS
            ):
                self._failovers -= 1
                return self._failovers >= 0
            case _:
                return False

    def record_outcome(self, outcome: Outcome, attempt_retries: int) -> Outcome:
        """Add back the unused retries of an attempt; return its outcome.

        ``attempt_retries`` is the number of retries sent with the attempt.
        """
        match outcome:
            case Result(tag='ok', ok=response):
                returned = response.retries_left
            case Result(error=refusal):
                returned = refusal.retries_left
                self._record_refusal(refusal)
        self.retries += min(attempt_retries, max(0, returned))
        return outcome

    def final_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome of the call after its last attempt.

        The call is reported as not run only if none of its attempts may have
        run. The refusal of a target takes precedence over the lack of another
        target.
        """
        match outcome:
            case Result(tag='ok', ok=response):
                if not self._policy.passes_retries:
                    return outcome
                return Answered(response.with_retries(self.retries))
            case Result(error=refusal):
                final_refusal = self._may_have_run or self._not_run or refusal
                return Error(replace(final_refusal, retries_left=self.retries))

    def _record_refusal(self, refusal: Refusal) -> None:
        match refusal:
            case MayHaveRun():
                self._may_have_run = refusal
            case NotRun(reason=Reason.NO_TARGET) if self._not_run is not None:
                return
            case NotRun(reason=Reason.RATE_LIMITED) if self._has_earlier_room(
                refusal
            ):
                return
            case NotRun():
                self._not_run = refusal

    def _has_earlier_room(self, refusal: NotRun) -> bool:
        # Another target that refused by its rate limit has room earlier.
        known = self._not_run
        if known is None or known.reason is not Reason.RATE_LIMITED:
            return False
        return known.retry_after_ms <= refusal.retry_after_ms
