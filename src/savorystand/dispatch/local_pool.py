"""The pool that the local target serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.rate_limit import RateLimit
from savorystand.departures.departures import Departures
from savorystand.gateway.target import TargetBinding
from savorystand.membership.directory import MemberDirectory
from savorystand.tables.holder import TablesHolder
from savorystand.target_notice import Incarnation

if TYPE_CHECKING:
    from savorystand.departures.departure import Departure
    from savorystand.departures.departure import DepartureSource
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.tables import Tables

# Consecutive connection failures after which the target is treated as gone
# until it announces itself again.
_MAX_CONNECTION_FAILURES = 3
# Time for peers to stop sending calls. New work is refused afterwards, so that
# a lost leave message has no lasting effect.
LEAVE_DELAY_MS = 3000
_UNANNOUNCED = Incarnation(instance='', started_ms=0)


class LocalPool:
    """Opens and closes admission as the local target joins or leaves."""

    __slots__ = (
        '_departures',
        '_failures',
        '_kernel',
        '_leave_delay_ms',
        '_present',
        '_retired',
        '_serving',
        '_slots',
        'incarnation',
        'leaving',
        'pool',
    )

    def __init__(
        self, *, kernel: Kernel, leave_delay_ms: float = LEAVE_DELAY_MS
    ) -> None:
        """Start without a target and refuse new work.

        Work that peers still send is refused ``leave_delay_ms`` after the
        target starts to leave.
        """
        self._kernel = kernel
        self._leave_delay_ms = leave_delay_ms
        # The pool that was announced last, empty before any announcement. It
        # stays that of a target that leaves or cannot be reached.
        self.pool = ''
        self._present = False
        self._serving = False
        # True once this node stops.
        self._retired = False
        self._failures = 0
        self._slots = 0
        # The instance id is empty if the target announces none.
        self.incarnation = _UNANNOUNCED
        # Set from the time at which the announced incarnation leaves.
        self.leaving: Incarnation | None = None
        # Peers may still route to an earlier process at this address, whose
        # target has left since.
        kernel.find('admission', AdmissionQueue).drain_after(0)
        kernel.find('tables', TablesHolder).add_observer(self._apply_tables)
        self._departures = kernel.find('departures', Departures)
        self._departures.add_observer(self._apply_departure)
        self._departures.add_known_observer(self._apply_current_tables)

    def bind(self, pool: str) -> TargetBinding | None:
        """Return the binding of a call for ``pool`` to the present target.

        None if the target is known to serve another pool.
        """
        if not self._serves(pool):
            return None
        return TargetBinding(pool=pool, instance=self.incarnation.instance)

    def may_start(self, binding: TargetBinding) -> bool:
        """Return True if a call that was admitted for a target may start.

        False once the target accepts no new work, or if another target has
        taken its address since.
        """
        if binding.instance != self.incarnation.instance:
            return False
        if not self._serves(binding.pool):
            return False
        admission = self._kernel.find('admission', AdmissionQueue)
        return admission.accepts_new_work()

    def announce(
        self,
        pool: str,
        *,
        slots: int = 0,
        incarnation: Incarnation = _UNANNOUNCED,
    ) -> None:
        """Record that the target serves ``pool``.

        It receives calls once the current tables have a row for the pool.
        ``slots``, unless 0, overrides the number of slots in that row.
        """
        known = (self.pool, self._slots, self.incarnation)
        if self._serving and known == (pool, slots, incarnation):
            return
        rate_limit = self._kernel.find('rate limit', RateLimit)
        if incarnation.instance != self.incarnation.instance:
            rate_limit.forget()
        elif incarnation != self.incarnation:
            rate_limit.doubt()
        self.incarnation = incarnation
        self.pool = pool
        self._slots = slots
        self._present = True
        self.leaving = None
        self._serving = False
        self._apply_current_tables()

    def leave(self) -> None:
        """Leave the pool and refuse new work after the leave delay."""
        if self.incarnation.instance:
            self.leaving = self.incarnation
        self._stop_serving()

    def retire(self, delay_ms: float) -> None:
        """Leave for good: the node stops, whatever its target announces.

        New work is refused after ``delay_ms``.
        """
        self._retired = True
        self._kernel.find('membership', MemberDirectory).leave()
        admission = self._kernel.find('admission', AdmissionQueue)
        admission.drain_after(delay_ms)

    def record_unreachable(self) -> None:
        """Record a failed connection; leave the pool after several in a row."""
        self._failures += 1
        if self._failures >= _MAX_CONNECTION_FAILURES:
            self._stop_serving()

    def record_reached(self) -> None:
        """Reset the count of failed connections."""
        self._failures = 0

    def _serves(self, pool: str) -> bool:
        return not self.pool or pool == self.pool

    def _apply_departure(
        self, departure: Departure, source: DepartureSource
    ) -> None:
        if self._departures.find(self.incarnation) is None:
            return
        self.leave()
        if source.precedes_start:
            # The leave delay has passed already.
            admission = self._kernel.find('admission', AdmissionQueue)
            admission.drain_after(0)

    def _stop_serving(self) -> None:
        if self._serving:
            self._kernel.find('membership', MemberDirectory).leave()
            admission = self._kernel.find('admission', AdmissionQueue)
            admission.drain_after(self._leave_delay_ms)
        self._serving = False
        self._present = False

    def _apply_current_tables(self) -> None:
        self._apply_tables(self._kernel.find('tables', TablesHolder).current())

    def _apply_tables(self, tables: Tables) -> None:
        row = tables.pool(self.pool)
        if row is None or self._retired or not self._present:
            return
        if not self._departures.earlier_known:
            # The target may have left before this process started.
            return
        admission = self._kernel.find('admission', AdmissionQueue)
        admission.set_slots(self._slots or row.slots)
        if not self._serving:
            admission.open_to_new_work()
            self._serving = True
            self._failures = 0
            self._kernel.find('membership', MemberDirectory).announce(self.pool)
