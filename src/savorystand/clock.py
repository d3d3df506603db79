"""Clocks and timers in milliseconds."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from typing import TYPE_CHECKING
from typing import Protocol

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_SECOND = 1000
_NS_PER_MS = 1000000
# Fraction of a period by which a timer may fire early.
_MAX_EARLY_FRACTION = 0.1


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback; no effect if it has already been called."""


class Clock:
    """Monotonic and wall time in milliseconds."""

    __slots__ = ('_loop',)

    def __init__(self) -> None:
        """Create a clock that reads the clocks of the machine."""
        self._loop: asyncio.AbstractEventLoop | None = None

    def now(self) -> float:
        """Return monotonic time in milliseconds.

        It counts the time during which the machine was suspended, so that a
        deadline or a permission that has run out meanwhile is not used.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NS_PER_MS

    def wall_time(self) -> int:
        """Return milliseconds since the Unix epoch, for display and naming.

        Wall time may jump, so decisions that affect safety must not use it.
        """
        return time.time_ns() // _NS_PER_MS

    async def sleep(self, ms: float) -> None:
        """Suspend the calling task for ``ms`` milliseconds."""
        await anyio.sleep(ms / MS_PER_SECOND)

    async def tick(self, period_ms: float) -> None:
        """Suspend until the next multiple of ``period_ms`` on this clock.

        An idle process wakes up only once for all periodic tasks that are due
        at the same time.
        """
        remaining_ms = period_ms - self.now() % period_ms
        if remaining_ms < period_ms * _MAX_EARLY_FRACTION:
            # The previous timer fired early, so this multiple has already been
            # handled.
            remaining_ms += period_ms
        await self.sleep(remaining_ms)

    def call_later(self, ms: float, callback: Callable[[], object]) -> Timer:
        """Call ``callback`` in ``ms`` milliseconds, outside of any task.

        This is cheaper than a cancel scope or a task that waits as long.
        """
        return self.loop().call_later(ms / MS_PER_SECOND, callback)

    def loop(self) -> asyncio.AbstractEventLoop:
        """Return the running event loop.

        The loop is cached, as each lookup makes a system call (``getpid``).
        """
        if self._loop is None or self._loop.is_closed():
            self._loop = asyncio.get_running_loop()
        return self._loop


class _ManualTimer:
    __slots__ = ('callback',)

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        self.callback = None

    def fire(self) -> None:
        if self.callback is not None:
            self.callback()


class ManualClock(Clock):
    """A clock for tests that advances only when ``advance`` is called."""

    __slots__ = ('_now', '_sequence', '_timers')

    def __init__(self, *, now: float = 0) -> None:
        """Start the clock at ``now`` milliseconds."""
        super().__init__()
        self._now = now
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, _ManualTimer]] = []

    def now(self) -> float:
        """Return the manually advanced time in milliseconds."""
        return self._now

    def wall_time(self) -> int:
        """Return the same time as ``now``."""
        return int(self._now)

    async def sleep(self, ms: float) -> None:
        """Suspend until ``advance`` has moved the clock by ``ms``."""
        event = anyio.Event()
        self.call_later(ms, event.set)
        await event.wait()

    def call_later(self, ms: float, callback: Callable[[], object]) -> Timer:
        """Call ``callback`` once ``advance`` has moved the clock by ``ms``."""
        timer = _ManualTimer(callback)
        entry = (self._now + ms, next(self._sequence), timer)
        heapq.heappush(self._timers, entry)
        return timer

    def advance(self, ms: float) -> None:
        """Advance time by ``ms`` and fire the timers that are due."""
        self._now += ms
        while self._timers and self._timers[0][0] <= self._now:
            heapq.heappop(self._timers)[2].fire()
