"""Admits calls to the local target."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.admission.closing import Closing
from savorystand.admission.forecast import Forecast
from savorystand.admission.limit import ConcurrencyLimit
from savorystand.admission.service_times import Estimate
from savorystand.admission.service_times import ServiceTimes
from savorystand.admission.service_times import unknown_estimate
from savorystand.admission.signals import Signals
from savorystand.admission.slots import Slots
from savorystand.admission.slow_watch import SlowWatch
from savorystand.admission.waiting import QueuedCall
from savorystand.admission.waiting import WaitingCalls
from savorystand.call import Call
from savorystand.call import Importance
from savorystand.call import TargetLoad
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.clock import Clock

# A queue of four times the slots lasts four service times, longer than
# useful; it only has to absorb bursts.
_QUEUE_PER_SLOT = 4
_MIN_QUEUE = 16


@final
@dataclass(slots=True, kw_only=True)
class Permit:
    """The right to run one call at the local target."""

    call: Call
    admitted_ms: float
    estimate: Estimate = field(default_factory=unknown_estimate)


class AdmissionQueue:
    """Slots of the local target and the calls that wait for one."""

    __slots__ = (
        '_clock',
        '_closing',
        '_forecast',
        '_limit',
        '_order',
        '_signals',
        '_usage',
        '_times',
        '_waiting',
        '_watch',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start with one slot until the pool's row is known."""
        self._clock = clock
        self._limit = ConcurrencyLimit(clock=clock)
        self._times = ServiceTimes(clock=clock)
        self._signals = Signals(clock=clock)
        self._usage = Slots(limit=self._limit)
        self._waiting = WaitingCalls()
        self._forecast = Forecast(
            slots=self._usage,
            times=self._times,
            waiting=self._waiting,
        )
        self._order = itertools.count()
        self._closing = Closing(clock=clock)
        self._watch = SlowWatch(clock=clock)

    def set_slots(self, slots: int) -> None:
        """Set the slots of the target, from the pools table.

        A lower number holds from the next call on.
        """
        self._limit.resize(slots)
        self._grant()

    def open_to_new_work(self) -> None:
        """Take new work, in steps: the target has started or returned."""
        self._closing.reopen()
        self._limit.restart()

    def drain_after(self, ms: float) -> None:
        """Start no work from ``ms`` milliseconds on.

        Calls that still wait then are refused, since a leaving target gets
        nothing new after the limit; their callers turn to another target.
        """
        self._closing.close_after(ms)

    def close_to_new_work(self) -> None:
        """Refuse new work from now on."""
        self.drain_after(0)
        self._grant()

    def load(self) -> TargetLoad:
        """Return the load for the reports to callers.

        Long calls that wait are left out: short ones do not wait behind them,
        and would be sent to other regions because of them.
        """
        normal = Importance.NORMAL
        wait_ms = self._forecast.wait_ms(normal, is_long=False)
        return TargetLoad(
            in_flight=self._usage.in_use(),
            queued=self._waiting.count(is_long=False),
            limit=self._limit.current(),
            admitted_rank=self._signals.admitted.current(),
            expected_ms=int(wait_ms + self._times.mean_ms(is_long=False)),
            slow=self._watch.is_slow(),
            pressed_rank=self._signals.overloaded.current(),
        )

    def in_progress(self) -> int:
        """Return the number of calls that run or wait."""
        return self._usage.in_use() + len(self._waiting)

    async def admit(self, call: Call) -> Permit | NotRun:
        """Wait for a slot while the call can still meet its deadline."""
        now = self._clock.now()
        if self._closing.is_closed():
            return NotRun(reason=Reason.DRAINING)
        self._grant()
        estimate = self._times.estimate(call)
        remaining_ms = call.context.deadline_ms - now
        if remaining_ms > estimate.service_ms and self._usage.has_free(
            is_long=estimate.is_long
        ):
            # A free slot is used whatever the admitted rank, which lags.
            self._signals.record(call, refused=False)
            self._usage.take(is_long=estimate.is_long)
            return _permit(call, estimate, now, self._watch)
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
        waiter = QueuedCall(
            call=call,
            estimate=estimate,
            order=next(self._order),
            arrived_ms=now,
        )
        overflow = self._make_room(waiter)
        if overflow is not None:
            self._signals.record(call, refused=True)
            return overflow
        self._waiting.add(waiter)
        return await self._wait(waiter)

    def release(
        self,
        permit: Permit,
        *,
        answered: bool,
        refused: bool = False,
    ) -> None:
        """Give the slot back.

        ``answered`` tells that the call was answered, ``refused`` that the
        target itself refused it.
        """
        elapsed_ms = self._clock.now() - permit.admitted_ms
        in_flight = self._usage.in_use()
        self._watch.end(id(permit), answered=answered)
        self._usage.give_back(is_long=permit.estimate.is_long)
        time_class = permit.estimate.time_class
        if refused and in_flight * 2 >= self._limit.slots():
            # One with most of its slots free is not full but faulty, and
            # fewer calls would not make it refuse less.
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
        self._grant()

    def _make_room(self, waiter: QueuedCall) -> NotRun | None:
        # Long calls get half of the queue, so that they cannot fill it with
        # calls that short ones may not evict.
        bound = max(_MIN_QUEUE, self._limit.slots() * _QUEUE_PER_SLOT)
        longs = self._waiting.count(is_long=True)
        long_full = waiter.estimate.is_long and longs * 2 >= bound
        if len(self._waiting) < bound and not long_full:
            return None
        victim = self._waiting.victim(
            waiter.call.context.importance,
            with_short=not long_full,
        )
        if victim is None:
            return self._forecast.overloaded(
                'queue is full', waiter.call, waiter.estimate
            )
        refusal = self._forecast.overloaded(
            'evicted', victim.call, victim.estimate
        )
        self._drop(victim, refusal)
        return None

    async def _wait(self, waiter: QueuedCall) -> Permit | NotRun:
        try:
            await waiter.until_decided(self._clock)
        except BaseException:
            self._withdraw(waiter)
            raise
        if waiter.admitted:
            now = self._clock.now()
            return _permit(waiter.call, waiter.estimate, now, self._watch)
        if waiter.refusal is None:
            self._drop(waiter, _too_late())
        return waiter.refusal or _too_late()

    def _withdraw(self, waiter: QueuedCall) -> None:
        if waiter.admitted:
            self._usage.give_back(is_long=waiter.estimate.is_long)
            self._grant()
        else:
            self._waiting.discard(waiter)

    def _grant(self) -> None:
        if not len(self._waiting):
            return
        if self._closing.is_closed():
            for waiting in self._waiting.all():
                self._drop(waiting, NotRun(reason=Reason.DRAINING))
        while len(self._waiting) and self._usage.has_free(is_long=False):
            with_long = self._usage.has_free(is_long=True)
            waiter = self._waiting.first(with_long=with_long)
            if waiter is None:
                return
            now = self._clock.now()
            if waiter.latest_start_ms() <= now:
                self._drop(waiter, _too_late())
                continue
            self._waiting.discard(waiter)
            self._signals.record_wait(waiter, refused=False)
            self._usage.take(is_long=waiter.estimate.is_long)
            waiter.admit()

    def _drop(self, waiter: QueuedCall, refusal: NotRun) -> None:
        self._waiting.discard(waiter)
        self._signals.record_wait(waiter, refused=True)
        waiter.refuse(refusal)


def _too_late() -> NotRun:
    detail = 'queued until too late to finish'
    return NotRun(reason=Reason.DEADLINE, detail=detail)


def _permit(
    call: Call,
    estimate: Estimate,
    now: float,
    watch: SlowWatch,
) -> Permit:
    permit = Permit(call=call, admitted_ms=now, estimate=estimate)
    watch.begin(id(permit), estimate.usual_ms)
    return permit
