"""Predicts whether a call can finish before its deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.admission.service_times import Estimate
    from savorystand.admission.service_times import ServiceTimes
    from savorystand.admission.slots import Slots
    from savorystand.admission.waiting import WaitingCalls
    from savorystand.call import Call

_MIN_RETRY_AFTER_MS = 100
_MAX_RETRY_AFTER_MS = 5000


@final
class Forecast:
    """Estimates the wait for a slot; refuses calls that would end too late."""

    __slots__ = ('_slots', '_times', '_waiting')

    def __init__(
        self,
        *,
        slots: Slots,
        times: ServiceTimes,
        waiting: WaitingCalls,
    ) -> None:
        """Use the slots, service times and calls of one admission queue."""
        self._slots = slots
        self._times = times
        self._waiting = waiting

    def wait_ms(self, rank: int, *, is_long: bool) -> float:
        """Return the expected wait of a new call of importance ``rank``."""
        if self._slots.has_free(is_long=is_long):
            return 0
        ahead = self._waiting.count_ahead(rank, is_long=is_long) + 1
        mean_ms = self._times.mean_ms(is_long=is_long)
        return ahead * mean_ms / self._slots.usable(is_long=is_long)

    def refusal(
        self,
        call: Call,
        estimate: Estimate,
        *,
        remaining_ms: float,
        admitted_rank: int,
    ) -> NotRun | None:
        """Return a refusal if the call must not queue, else None.

        A call must not queue if its importance is not admitted, or if it is
        expected to end after its deadline, which is ``remaining_ms`` away.
        """
        if remaining_ms <= estimate.service_ms:
            detail = f'expected service time is {estimate.service_ms:.0f} ms'
            return NotRun(reason=Reason.DEADLINE, detail=detail)
        if call.context.importance < admitted_rank:
            return self.overload_refusal(
                'importance is below the admitted rank', call, estimate
            )
        rank = call.context.importance
        wait_ms = self.wait_ms(rank, is_long=estimate.is_long)
        if remaining_ms < wait_ms + estimate.service_ms:
            detail = f'expected wait is {wait_ms:.0f} ms'
            return self.overload_refusal(detail, call, estimate)
        return None

    def overload_refusal(
        self, detail: str, call: Call, estimate: Estimate
    ) -> NotRun:
        """Return an overload refusal; its retry delay is the bounded wait."""
        rank = call.context.importance
        wait_ms = self.wait_ms(rank, is_long=estimate.is_long)
        bounded = min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS)
        return NotRun(
            reason=Reason.OVERLOADED,
            detail=detail,
            retry_after_ms=int(bounded),
        )
