"""Queue of calls for the slots of the local target."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.admission.drain_deadline import DrainDeadline
from savorystand.admission.forecast import Forecast
from savorystand.admission.limit import ConcurrencyLimit
from savorystand.admission.service_times import Estimate
from savorystand.admission.service_times import ServiceTimes
from savorystand.admission.service_times import default_estimate
from savorystand.admission.signals import Signals
from savorystand.admission.slots import Slots
from savorystand.admission.slowness_detector import SlownessDetector
from savorystand.admission.waiting import QueuedCall
from savorystand.admission.waiting import WaitingCalls
from savorystand.call import Call
from savorystand.call import Importance
from savorystand.call import TargetLoad
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.clock import Clock

# The queue only has to absorb bursts. Four calls per slot take four service
# times to drain, which is already longer than useful.
_QUEUED_CALLS_PER_SLOT = 4
_MIN_QUEUE_CAPACITY = 16


@final
@dataclass(slots=True, kw_only=True)
class Permit:
    """The right to run one call at the local target."""

    call: Call
    admitted_ms: float
    estimate: Estimate = field(default_factory=default_estimate)


class AdmissionQueue:
    """Admits calls to the slots of the local target, by importance."""

    __slots__ = (
        '_clock',
        '_drain_deadline',
        '_forecast',
        '_limit',
        '_order',
        '_signals',
        '_slot_usage',
        '_times',
        '_waiting',
        '_slowness',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start with one slot until ``set_slots`` is called."""
        self._clock = clock
        self._limit = ConcurrencyLimit(clock=clock)
        self._times = ServiceTimes(clock=clock)
        self._signals = Signals(clock=clock)
        self._slot_usage = Slots(limit=self._limit)
        self._waiting = WaitingCalls()
        self._forecast = Forecast(
            slots=self._slot_usage,
            times=self._times,
            waiting=self._waiting,
        )
        self._order = itertools.count()
        self._drain_deadline = DrainDeadline(clock=clock)
        self._slowness = SlownessDetector(clock=clock)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots of the target.

        Running calls keep their slots if the number falls.
        """
        self._limit.resize(slots)
        self._admit_queued()

    def open_to_new_work(self) -> None:
        """Admit new calls after the target has started or returned to service.

        What was learned of the limit of an earlier target is forgotten.
        """
        self._drain_deadline.clear()
        self._limit.restart()

    def drain_after(self, ms: float) -> None:
        """Start no calls later than ``ms`` milliseconds from now.

        Calls that still wait then are refused, since a leaving target must
        get no new calls after that; their callers can use another target.
        """
        self._drain_deadline.set_after(ms)
        self._admit_queued()

    def accepts_new_work(self) -> bool:
        """Return True while calls may start, if there is a slot."""
        return not self._drain_deadline.has_passed()

    def load(self) -> TargetLoad:
        """Return the current load of the target.

        Waiting long calls are not counted: short calls do not wait behind
        them, and would be sent to other regions because of them.
        """
        normal = Importance.NORMAL
        wait_ms = self._forecast.wait_ms(normal, is_long=False)
        return TargetLoad(
            in_flight=self._slot_usage.in_use(),
            queued=self._waiting.count(is_long=False),
            limit=self._limit.current(),
            admitted_rank=self._signals.admitted.current(),
            expected_ms=int(wait_ms + self._times.mean_ms(is_long=False)),
            slow=self._slowness.is_slow(),
            pressed_rank=self._signals.overloaded.current(),
        )

    def in_progress(self) -> int:
        """Return the number of calls that run or wait."""
        return self._slot_usage.in_use() + len(self._waiting)

    async def admit(self, call: Call) -> Permit | NotRun:
        """Wait for a slot and return a permit, or a refusal.

        The call is refused as soon as it cannot meet its deadline, or if the
        target is overloaded or draining.
        """
        now = self._clock.now()
        if not self.accepts_new_work():
            return NotRun(reason=Reason.DRAINING)
        self._admit_queued()
        estimate = self._times.estimate(call)
        remaining_ms = call.context.deadline_ms - now
        if remaining_ms > estimate.service_ms and self._slot_usage.has_free(
            is_long=estimate.is_long
        ):
            # The admitted rank lags behind, so a free slot is always used.
            self._signals.record(call, refused=False)
            self._slot_usage.acquire(is_long=estimate.is_long)
            return _create_permit(call, estimate, now, self._slowness)
        refusal = self._forecast.refusal(
            call,
            estimate,
            remaining_ms=remaining_ms,
            admitted_rank=self._signals.admitted.current(),
        )
        if refusal is not None:
            refused = refusal.reason is Reason.OVERLOADED
            self._signals.record(call, refused=refused)
            return refusal
        queued_call = QueuedCall(
            call=call,
            estimate=estimate,
            order=next(self._order),
            arrived_ms=now,
        )
        queue_refusal = self._make_room(queued_call)
        if queue_refusal is not None:
            self._signals.record(call, refused=True)
            return queue_refusal
        self._waiting.add(queued_call)
        return await self._wait_for_slot(queued_call)

    def release(
        self,
        permit: Permit,
        *,
        answered: bool,
        refused: bool = False,
    ) -> None:
        """Free the slot of a call that ended.

        ``answered`` is True if the target answered the call, ``refused`` if
        the target itself refused it.
        """
        elapsed_ms = self._clock.now() - permit.admitted_ms
        in_flight = self._slot_usage.in_use()
        self._slowness.end(id(permit), answered=answered)
        self._slot_usage.release(is_long=permit.estimate.is_long)
        time_class = permit.estimate.time_class
        if refused and in_flight * 2 >= self._limit.slots():
            # A target that refuses with most of its slots free is faulty, not
            # overloaded, and fewer calls would not reduce its refusals.
            self._limit.record_refusal()
        elif refused:
            self._times.record_unfinished(time_class, elapsed_ms)
        elif answered:
            self._limit.record(
                self._times.record(time_class, elapsed_ms),
                elapsed_ms=elapsed_ms,
                in_flight=in_flight,
            )
        else:
            self._times.record_unfinished(time_class, elapsed_ms)
        self._admit_queued()

    def _make_room(self, queued_call: QueuedCall) -> NotRun | None:
        # Long calls get half of the queue, so that they cannot fill it with
        # calls that short calls may not evict.
        capacity = max(
            _MIN_QUEUE_CAPACITY, self._limit.slots() * _QUEUED_CALLS_PER_SLOT
        )
        long_calls = self._waiting.count(is_long=True)
        long_part_full = (
            queued_call.estimate.is_long and long_calls * 2 >= capacity
        )
        if len(self._waiting) < capacity and not long_part_full:
            return None
        evicted = self._waiting.eviction_candidate(
            queued_call.call.context.importance,
            with_short=not long_part_full,
        )
        if evicted is None:
            return self._forecast.overload_refusal(
                'queue is full', queued_call.call, queued_call.estimate
            )
        refusal = self._forecast.overload_refusal(
            'evicted by a more important call', evicted.call, evicted.estimate
        )
        self._refuse_queued(evicted, refusal)
        return None

    async def _wait_for_slot(self, queued_call: QueuedCall) -> Permit | NotRun:
        try:
            await queued_call.wait_for_decision(self._clock)
        except BaseException:
            self._remove_cancelled(queued_call)
            raise
        if queued_call.admitted:
            now = self._clock.now()
            return _create_permit(
                queued_call.call, queued_call.estimate, now, self._slowness
            )
        if queued_call.refusal is None:
            self._refuse_queued(queued_call, _deadline_refusal())
        return queued_call.refusal or _deadline_refusal()

    def _remove_cancelled(self, queued_call: QueuedCall) -> None:
        if queued_call.admitted:
            self._slot_usage.release(is_long=queued_call.estimate.is_long)
            self._admit_queued()
        else:
            self._waiting.discard(queued_call)

    def _admit_queued(self) -> None:
        if not len(self._waiting):
            return
        if not self.accepts_new_work():
            for drained in self._waiting.all():
                self._refuse_queued(drained, NotRun(reason=Reason.DRAINING))
        while len(self._waiting) and self._slot_usage.has_free(is_long=False):
            with_long = self._slot_usage.has_free(is_long=True)
            queued_call = self._waiting.first(with_long=with_long)
            if queued_call is None:
                return
            now = self._clock.now()
            if queued_call.latest_start_ms() <= now:
                self._refuse_queued(queued_call, _deadline_refusal())
                continue
            self._waiting.discard(queued_call)
            self._signals.record_wait(queued_call, refused=False)
            self._slot_usage.acquire(is_long=queued_call.estimate.is_long)
            queued_call.admit()

    def _refuse_queued(self, queued_call: QueuedCall, refusal: NotRun) -> None:
        self._waiting.discard(queued_call)
        self._signals.record_wait(queued_call, refused=True)
        queued_call.refuse(refusal)


def _deadline_refusal() -> NotRun:
    detail = 'call waited until it could no longer meet its deadline'
    return NotRun(reason=Reason.DEADLINE, detail=detail)


def _create_permit(
    call: Call,
    estimate: Estimate,
    now: float,
    slowness: SlownessDetector,
) -> Permit:
    permit = Permit(call=call, admitted_ms=now, estimate=estimate)
    slowness.begin(id(permit), estimate.minimum_ms)
    return permit
