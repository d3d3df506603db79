"""Load shedding signals of the local target."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.admission.admitted_rank import AdmittedRank
from savorystand.admission.overloaded_rank import OverloadedRank

if TYPE_CHECKING:
    from savorystand.admission.waiting import QueuedCall
    from savorystand.call import Call
    from savorystand.clock import Clock


@final
class Signals:
    """Records each call in both load shedding signals.

    ``admitted`` is the lowest importance that is still admitted,
    ``overloaded`` the one up to which calls are refused or delayed.
    """

    __slots__ = ('_clock', 'admitted', 'overloaded')

    def __init__(self, *, clock: Clock) -> None:
        """Start by admitting all calls, without overload."""
        self._clock = clock
        self.admitted = AdmittedRank(clock=clock)
        self.overloaded = OverloadedRank(clock=clock)

    def record(self, call: Call, *, refused: bool) -> None:
        """Record a call that was admitted or refused without queueing.

        ``refused`` is True only for a refusal because of overload.
        """
        rank = call.context.importance
        if not refused:
            self.admitted.record(rank, 0)
        self.overloaded.record(rank, 0, refused=refused)

    def record_wait(self, queued_call: QueuedCall, *, refused: bool) -> None:
        """Record a call that is admitted or refused after queueing."""
        now = self._clock.now()
        self.admitted.record_wait(queued_call, now)
        rank = queued_call.call.context.importance
        waited_ms = now - queued_call.arrived_ms
        self.overloaded.record(rank, waited_ms, refused=refused)
