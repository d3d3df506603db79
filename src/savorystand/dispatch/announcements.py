"""Processes the announcements that the local target sends to its node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.departures.announced import MAX_SILENCE_MS
from savorystand.departures.departures import Departures
from savorystand.departures.statements import DepartureStatements
from savorystand.dispatch.early_announcements import EarlyAnnouncements
from savorystand.dispatch.local_pool import LocalPool
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.target_events import announcement_ignored
from savorystand.reporting.target_events import target_changed
from savorystand.tables.holder import TablesHolder

if TYPE_CHECKING:
    from savorystand.dispatch.announcement import Announcement
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.tables import Tables


class Announcements:
    """Applies announcements and ignores those that are out of date.

    A delayed announcement, of this or of an earlier incarnation, must not
    return a target to service that has since left. ``Departures`` decides which
    incarnations have left.

    Any process can send announcements. One of a pool that the tables in force
    do not name has no effect, whatever else it says: it is that of another
    writer, or of a target whose pool is named later and which goes on
    announcing itself. Those that arrive before any tables are kept until the
    first ones tell which pools there are.
    """

    __slots__ = (
        '_clock',
        '_departures',
        '_early',
        '_kernel',
        '_last',
        '_last_ms',
        '_log',
        '_statements',
        '_tables',
    )

    def __init__(self, *, kernel: Kernel) -> None:
        """Apply announcements to the ``local pool`` of ``kernel``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._departures = kernel.find('departures', Departures)
        self._log = kernel.find('log', EventLog)
        self._last: Announcement | None = None
        # Monotonic time in milliseconds of the last announcement.
        self._last_ms = float(0)
        self._statements = DepartureStatements(
            clock=self._clock, departures=self._departures
        )
        self._early = EarlyAnnouncements(clock=self._clock)
        self._tables = kernel.find('tables', TablesHolder)
        self._tables.add_observer(self._apply_early)

    def accept(self, announcement: Announcement) -> bool:
        """Apply an announcement; return False if it is ignored.

        One that says that the target leaves holds even if it is out of date.
        """
        if not self._tables.current().revision:
            self._early.add(announcement)
            return False
        if not self.is_named(announcement.pool):
            self._log_ignored(announcement, 'the tables do not name its pool')
            return False
        return self._accept_named(announcement)

    def is_named(self, pool: str) -> bool:
        """Return True if the tables in force name a pool."""
        return self._tables.current().pool(pool) is not None

    def deregister(self, instance: str, started_ms: int | None = None) -> None:
        """Record that an instance has left.

        ``started_ms`` is the start time of the incarnation that has left, in
        milliseconds since the Unix epoch, None if the target does not say it.
        """
        self._early.forget(instance)
        self._statements.deregister(instance, started_ms)

    def _apply_early(self, tables: Tables) -> None:
        for announcement in self._early.take():
            self.accept(announcement)

    def _accept_named(self, announcement: Announcement) -> bool:
        last = self._last
        incarnation = announcement.incarnation
        if announcement.leaving:
            self._statements.announce(incarnation)
        in_order = self._departures.records.hear(
            incarnation, announcement.sequence, leaving=announcement.leaving
        )
        reason = self._reason_to_ignore(announcement, in_order=in_order)
        if reason:
            self._log_ignored(announcement, reason)
            return False
        self._last = announcement
        self._last_ms = self._clock.now()
        self._apply(announcement, last)
        if last is None or announcement.leaving:
            # One that leaves may be the former incarnation, not the present.
            return True
        if last.incarnation != incarnation:
            self._statements.replace(last.incarnation)
        return True

    def _log_ignored(self, announcement: Announcement, reason: str) -> None:
        self._log.write_lazily(
            EventName.ANNOUNCEMENT_IGNORED,
            lambda: announcement_ignored(
                announcement.incarnation,
                announcement.pool,
                announcement.sequence,
                reason,
            ),
        )

    def _reason_to_ignore(
        self, announcement: Announcement, *, in_order: bool
    ) -> str:
        known = self._departures.find(announcement.incarnation)
        if known is not None and not announcement.leaving:
            return f'the target has left, known from: {known.value}'
        if not in_order:
            return 'a later announcement has arrived before'
        last = self._last
        if (
            last is not None
            and announcement.incarnation != last.incarnation
            and announcement.started_ms < last.started_ms
            and self._is_live(last)
        ):
            return 'a target that started later announces itself'
        return ''

    def _is_live(self, last: Announcement) -> bool:
        # The wall clock may be set back between two incarnations, so that
        # their start times do not tell which one is the later.
        if self._departures.find(last.incarnation) is not None:
            return False
        return self._clock.now() - self._last_ms < MAX_SILENCE_MS

    def _apply(
        self, announcement: Announcement, last: Announcement | None
    ) -> None:
        if not announcement.leaving:
            self._kernel.find('local pool', LocalPool).announce(
                announcement.pool,
                slots=announcement.slots,
                incarnation=announcement.incarnation,
            )
        if last is None or _announced_state(last) != _announced_state(
            announcement
        ):
            state = 'leaving' if announcement.leaving else 'ready'
            self._log.write(
                target_changed(
                    announcement.instance,
                    announcement.pool,
                    state,
                    announcement.sequence,
                )
            )


def _announced_state(announcement: Announcement) -> tuple[object, ...]:
    return (
        announcement.incarnation,
        announcement.pool,
        announcement.slots,
        announcement.leaving,
    )
