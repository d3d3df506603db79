"""Admits calls to the own target."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from dataclasses import field
from typing import final

import anyio
from expression import Error
from expression import Ok
from expression import Result

from savorystand.call import Call
from savorystand.call import TargetLoad
from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.verdict import NotRun
from savorystand.verdict import Reason


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Permit:
    """The right to run one call at the own target."""

    call: Call
    admitted_ms: float


@final
@dataclass(slots=True, kw_only=True, order=True)
class _Waiter:
    rank: int
    order: int
    ready: anyio.Event = field(compare=False, default_factory=anyio.Event)
    admitted: bool = field(compare=False, default=False)


class AdmissionQueue:
    """Slots of the own target and the calls that wait for one."""

    __slots__ = (
        '_clock',
        '_closed',
        '_in_flight',
        '_limit',
        '_order',
        '_waiting',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start with one slot until the pool's row is known."""
        self._clock = clock
        self._limit = 1
        self._in_flight = 0
        self._closed = False
        self._waiting: list[_Waiter] = []
        self._order = itertools.count()

    def set_slots(self, slots: int) -> None:
        """Set the slots of the target, from the pools table."""
        self._limit = slots
        self._grant()

    def load(self) -> TargetLoad:
        """Return the load for the reports to callers."""
        return TargetLoad(
            in_flight=self._in_flight,
            queued=len(self._waiting),
            limit=self._limit,
        )

    def in_progress(self) -> int:
        """Return the number of calls that run or wait."""
        return self._in_flight + len(self._waiting)

    def close_to_new_work(self) -> None:
        """Refuse every call from now on with ``draining``."""
        self._closed = True

    async def admit(self, call: Call) -> Result[Permit, NotRun]:
        """Wait for a slot until the call's deadline."""
        if self._closed:
            return Error(NotRun(reason=Reason.DRAINING))
        if self._in_flight < self._limit:
            self._in_flight += 1
            return Ok(Permit(call=call, admitted_ms=self._clock.now()))
        waiter = _Waiter(
            rank=-call.context.importance,
            order=next(self._order),
        )
        heapq.heappush(self._waiting, waiter)
        return await self._wait(call, waiter)

    def release(self, permit: Permit, *, whole: bool) -> None:
        """Give the slot back; ``whole`` tells that the call was answered."""
        self._in_flight -= 1
        self._grant()

    async def _wait(
        self, call: Call, waiter: _Waiter
    ) -> Result[Permit, NotRun]:
        left_ms = call.context.deadline_ms - self._clock.now()
        try:
            with anyio.move_on_after(max(0, left_ms) / MS_PER_SECOND):
                await waiter.ready.wait()
        except BaseException:
            self._withdraw(waiter)
            raise
        if waiter.admitted:
            return Ok(Permit(call=call, admitted_ms=self._clock.now()))
        self._withdraw(waiter)
        return Error(NotRun(reason=Reason.DEADLINE, detail='queued'))

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter.admitted:
            self._in_flight -= 1
            self._grant()
        else:
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)

    def _grant(self) -> None:
        while self._waiting and self._in_flight < self._limit:
            waiter = heapq.heappop(self._waiting)
            waiter.admitted = True
            self._in_flight += 1
            waiter.ready.set()
