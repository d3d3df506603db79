"""The pool that the local target serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.membership.directory import MemberDirectory
from savorystand.tables.holder import TablesHolder

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.tables import Tables

# Consecutive connection failures after which the target is treated as gone
# until it announces itself again.
_MAX_CONNECTION_FAILURES = 3
# Time for peers to stop sending calls. New work is refused afterwards, so that
# a lost leave message has no lasting effect.
LEAVE_DELAY_MS = 3000


class LocalPool:
    """Opens and closes admission as the local target joins or leaves."""

    __slots__ = (
        '_failures',
        '_kernel',
        '_leave_delay_ms',
        '_pool',
        '_serving',
        '_slots',
        'instance',
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
        self._pool = ''
        self._serving = False
        self._failures = 0
        self._slots = 0
        # Instance name of the target, empty if it announces none.
        self.instance = ''
        # Peers may still route to an earlier process at this address, whose
        # target has left since.
        kernel.find('admission', AdmissionQueue).close_to_new_work()
        kernel.find('tables', TablesHolder).add_observer(self._apply_tables)

    def serves(self, pool: str) -> bool:
        """Return True unless the target is known to serve another pool."""
        return not self._pool or pool == self._pool

    def announce(
        self, pool: str, *, slots: int = 0, instance: str = ''
    ) -> None:
        """Record that the target serves ``pool``.

        It receives calls once the current tables have a row for the pool.
        ``slots``, unless 0, overrides the number of slots in that row.
        """
        known = (self._pool, self._slots, self.instance)
        if self._serving and known == (pool, slots, instance):
            return
        self._pool = pool
        self._slots = slots
        self.instance = instance
        self._serving = False
        self._apply_tables(self._kernel.find('tables', TablesHolder).current())

    def leave(self) -> None:
        """Leave the pool and refuse new work after the leave delay."""
        if self._serving:
            self._kernel.find('membership', MemberDirectory).leave()
            admission = self._kernel.find('admission', AdmissionQueue)
            admission.drain_after(self._leave_delay_ms)
        self._serving = False
        self._pool = ''

    def record_unreachable(self) -> None:
        """Record a failed connection; leave the pool after several in a row."""
        self._failures += 1
        if self._failures >= _MAX_CONNECTION_FAILURES:
            self.leave()

    def record_reached(self) -> None:
        """Reset the count of failed connections."""
        self._failures = 0

    def _apply_tables(self, tables: Tables) -> None:
        row = tables.pool(self._pool)
        if row is None:
            return
        admission = self._kernel.find('admission', AdmissionQueue)
        admission.set_slots(self._slots or row.slots)
        if not self._serving:
            admission.open_to_new_work()
            self._serving = True
            self._failures = 0
            self._kernel.find('membership', MemberDirectory).announce(
                self._pool
            )
