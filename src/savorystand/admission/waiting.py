"""Calls that wait for a slot."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.call import Importance
from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.admission.service_times import Estimate
    from savorystand.call import Call
    from savorystand.verdict import NotRun


@final
@dataclass(slots=True, kw_only=True, eq=False)
class QueuedCall:
    """A call in the queue; ``ready`` is set once it is decided."""

    call: Call
    estimate: Estimate
    order: int
    arrived_ms: float
    ready: anyio.Event = field(default_factory=anyio.Event)
    admitted: bool = False
    refusal: NotRun | None = None

    def decided(self) -> bool:
        """Return True if the call is admitted or refused."""
        return self.admitted or self.refusal is not None

    def latest_start_ms(self) -> float:
        """Return when the call has to start to end before its deadline."""
        return self.call.context.deadline_ms - self.estimate.service_ms

    async def until_decided(self, clock: Clock) -> None:
        """Wait for the decision, or until it is too late to start."""
        # The event loop's timer only wakes the call; the clock decides.
        remaining_ms = self.latest_start_ms() - clock.now()
        while remaining_ms > 0 and not self.decided():
            with anyio.move_on_after(max(1, remaining_ms) / MS_PER_SECOND):
                await self.ready.wait()
            remaining_ms = self.latest_start_ms() - clock.now()

    def refuse(self, refusal: NotRun) -> None:
        """Wake the call with a refusal."""
        self.refusal = refusal
        self.ready.set()

    def admit(self) -> None:
        """Wake the call with a slot."""
        self.admitted = True
        self.ready.set()


@final
class WaitingCalls:
    """The queue: by importance, then arrival, long calls apart.

    Long calls have lines of their own, so that a short call never waits
    behind one that may not run yet.
    """

    __slots__ = ('_counts', '_lines')

    def __init__(self) -> None:
        """Start empty."""
        self._lines: dict[tuple[bool, int], OrderedDict[int, QueuedCall]] = {
            (is_long, rank): OrderedDict()
            for is_long in (False, True)
            for rank in reversed(Importance)
        }
        self._counts = {False: 0, True: 0}

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._counts[False] + self._counts[True]

    def __contains__(self, waiter: QueuedCall) -> bool:
        """Return True if the call waits here."""
        return waiter.order in self._line(waiter)

    def all(self) -> list[QueuedCall]:
        """Return all waiting calls, for the closing of the queue."""
        lines = self._lines.values()
        return [waiter for line in lines for waiter in line.values()]

    def count(self, *, is_long: bool) -> int:
        """Return the number of waiting short or long calls."""
        return self._counts[is_long]

    def ahead(self, rank: int, *, is_long: bool) -> int:
        """Return how many calls of the kind a new one of ``rank`` follows."""
        if not self._counts[is_long]:
            return 0
        return sum(
            len(self._lines[is_long, other])
            for other in Importance
            if other >= rank
        )

    def add(self, waiter: QueuedCall) -> None:
        """Append a call to its line."""
        self._line(waiter)[waiter.order] = waiter
        self._counts[waiter.estimate.is_long] += 1

    def discard(self, waiter: QueuedCall) -> None:
        """Remove a call if it is still there."""
        if self._line(waiter).pop(waiter.order, None) is not None:
            self._counts[waiter.estimate.is_long] -= 1

    def first(self, *, with_long: bool) -> QueuedCall | None:
        """Return the call to serve next: most important, then oldest."""
        for rank in reversed(Importance):
            found = [
                next(iter(line.values()))
                for line in self._lines_of(
                    rank, with_short=True, with_long=with_long
                )
            ]
            if found:
                return min(found, key=lambda waiter: waiter.order)
        return None

    def victim(self, rank: int, *, with_short: bool) -> QueuedCall | None:
        """Return the newest of the least important calls below ``rank``."""
        for lower in range(rank):
            found = [
                next(reversed(line.values()))
                for line in self._lines_of(
                    lower, with_short=with_short, with_long=True
                )
            ]
            if found:
                return max(found, key=lambda waiter: waiter.order)
        return None

    def _line(self, waiter: QueuedCall) -> OrderedDict[int, QueuedCall]:
        rank = waiter.call.context.importance
        return self._lines[waiter.estimate.is_long, rank]

    def _lines_of(
        self,
        rank: int,
        *,
        with_short: bool,
        with_long: bool,
    ) -> Iterator[OrderedDict[int, QueuedCall]]:
        for is_long, wanted in ((False, with_short), (True, with_long)):
            line = self._lines[is_long, rank]
            if wanted and line:
                yield line
