"""Time in milliseconds."""

from __future__ import annotations

import heapq
import time

import anyio

MS_PER_SECOND = 1000
_NS_PER_MS = 1000000


class Clock:
    """Monotonic and wall time in milliseconds."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic time in milliseconds."""
        return time.monotonic_ns() / _NS_PER_MS

    def wall(self) -> int:
        """Return milliseconds since the Unix epoch, for display and naming.

        Wall time may jump: no decision about safety reads it.
        """
        return time.time_ns() // _NS_PER_MS

    async def sleep(self, ms: float) -> None:
        """Suspend the calling task for ``ms`` milliseconds."""
        await anyio.sleep(ms / MS_PER_SECOND)


class ManualClock(Clock):
    """A clock that moves only when told to, for decision tests."""

    __slots__ = ('_now', '_sleepers')

    def __init__(self, *, now: float = 0) -> None:
        """Start the clock at ``now`` milliseconds."""
        self._now = now
        self._sleepers: list[tuple[float, int, anyio.Event]] = []

    def now(self) -> float:
        """Return the time set by the test, in milliseconds."""
        return self._now

    def wall(self) -> int:
        """Return the same time as ``now``."""
        return int(self._now)

    async def sleep(self, ms: float) -> None:
        """Suspend until ``advance`` has moved the clock by ``ms``."""
        event = anyio.Event()
        entry = (self._now + ms, id(event), event)
        heapq.heappush(self._sleepers, entry)
        await event.wait()

    def advance(self, ms: float) -> None:
        """Move time forward by ``ms`` and wake the sleepers that are due."""
        self._now += ms
        while self._sleepers and self._sleepers[0][0] <= self._now:
            heapq.heappop(self._sleepers)[2].set()
