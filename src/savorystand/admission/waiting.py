"""Calls that wait for a slot of the local target."""

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
    """A call in the queue; ``ready`` is set once it is admitted or refused.

    ``order`` numbers calls by arrival, ``arrived_ms`` is the time of arrival.
    """

    call: Call
    estimate: Estimate
    order: int
    arrived_ms: float
    ready: anyio.Event = field(default_factory=anyio.Event)
    admitted: bool = False
    refusal: NotRun | None = None

    def is_decided(self) -> bool:
        """Return True if the call is admitted or refused."""
        return self.admitted or self.refusal is not None

    def latest_start_ms(self) -> float:
        """Return the latest start time that meets the deadline."""
        return self.call.context.deadline_ms - self.estimate.service_ms

    async def wait_for_decision(self, clock: Clock) -> None:
        """Wait for the decision, or until the deadline can no longer be met."""
        # The event loop's timer only wakes the task; expiry is checked
        # against ``clock``.
        remaining_ms = self.latest_start_ms() - clock.now()
        while remaining_ms > 0 and not self.is_decided():
            with anyio.move_on_after(max(1, remaining_ms) / MS_PER_SECOND):
                await self.ready.wait()
            remaining_ms = self.latest_start_ms() - clock.now()

    def refuse(self, refusal: NotRun) -> None:
        """Refuse the call and wake its task."""
        self.refusal = refusal
        self.ready.set()

    def admit(self) -> None:
        """Admit the call and wake its task."""
        self.admitted = True
        self.ready.set()


@final
class WaitingCalls:
    """Queues ordered by importance, then arrival.

    Long calls have separate queues, so that a short call never waits behind
    a long one that may not start yet.
    """

    __slots__ = ('_counts', '_queues')

    def __init__(self) -> None:
        """Create empty queues."""
        self._queues: dict[tuple[bool, int], OrderedDict[int, QueuedCall]] = {
            (is_long, rank): OrderedDict()
            for is_long in (False, True)
            for rank in reversed(Importance)
        }
        self._counts = {False: 0, True: 0}

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._counts[False] + self._counts[True]

    def __contains__(self, queued_call: QueuedCall) -> bool:
        """Return True if the call is waiting."""
        return queued_call.order in self._queue_of(queued_call)

    def all(self) -> list[QueuedCall]:
        """Return all waiting calls."""
        queues = self._queues.values()
        return [
            queued_call for queue in queues for queued_call in queue.values()
        ]

    def count(self, *, is_long: bool) -> int:
        """Return the number of waiting short or long calls."""
        return self._counts[is_long]

    def count_ahead(self, rank: int, *, is_long: bool) -> int:
        """Return how many calls are served before a new one of ``rank``.

        Only short or only long calls are counted, as given by ``is_long``.
        """
        if not self._counts[is_long]:
            return 0
        return sum(
            len(self._queues[is_long, other])
            for other in Importance
            if other >= rank
        )

    def add(self, queued_call: QueuedCall) -> None:
        """Append a call to its queue."""
        self._queue_of(queued_call)[queued_call.order] = queued_call
        self._counts[queued_call.estimate.is_long] += 1

    def discard(self, queued_call: QueuedCall) -> None:
        """Remove a call if it is still waiting."""
        if self._queue_of(queued_call).pop(queued_call.order, None) is not None:
            self._counts[queued_call.estimate.is_long] -= 1

    def first(self, *, with_long: bool) -> QueuedCall | None:
        """Return the call to serve next: most important, then oldest.

        Long calls are considered only if ``with_long`` is True.
        """
        for rank in reversed(Importance):
            found = [
                next(iter(queue.values()))
                for queue in self._nonempty_queues(
                    rank, with_short=True, with_long=with_long
                )
            ]
            if found:
                return min(found, key=lambda queued_call: queued_call.order)
        return None

    def eviction_candidate(
        self, rank: int, *, with_short: bool
    ) -> QueuedCall | None:
        """Return the newest of the least important calls below ``rank``.

        Short calls are considered only if ``with_short`` is True.
        """
        for lower in range(rank):
            found = [
                next(reversed(queue.values()))
                for queue in self._nonempty_queues(
                    lower, with_short=with_short, with_long=True
                )
            ]
            if found:
                return max(found, key=lambda queued_call: queued_call.order)
        return None

    def _queue_of(
        self, queued_call: QueuedCall
    ) -> OrderedDict[int, QueuedCall]:
        rank = queued_call.call.context.importance
        return self._queues[queued_call.estimate.is_long, rank]

    def _nonempty_queues(
        self,
        rank: int,
        *,
        with_short: bool,
        with_long: bool,
    ) -> Iterator[OrderedDict[int, QueuedCall]]:
        for is_long, wanted in ((False, with_short), (True, with_long)):
            queue = self._queues[is_long, rank]
            if wanted and queue:
                yield queue
