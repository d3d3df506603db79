"""Processes the announcements that the local target sends to its node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import Clock
from savorystand.departures.departure import Departure
from savorystand.departures.departure import DepartureSource
from savorystand.departures.departures import Departures
from savorystand.dispatch.local_pool import LocalPool
from savorystand.reporting.logs import EventLog
from savorystand.reporting.target_events import announcement_ignored
from savorystand.reporting.target_events import target_changed
from savorystand.target_notice import Incarnation

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

# Two intervals of the announcements of the platform's targets.
_SILENCE_MS = 3000


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Announcement:
    """What a target announces about itself.

    ``instance`` and ``started_ms``, the wall time of its start, identify one
    incarnation of the target; ``sequence`` increases with each announcement
    of that incarnation.
    """

    instance: str
    started_ms: int
    sequence: int
    pool: str
    slots: int
    leaving: bool

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the target that announces itself."""
        return Incarnation(instance=self.instance, started_ms=self.started_ms)


class Announcements:
    """Applies announcements and ignores those that are out of date.

    A delayed announcement, of this or of an earlier incarnation, must not
    return a target to service that has since left.
    """

    __slots__ = (
        '_clock',
        '_departures',
        '_kernel',
        '_last',
        '_last_ms',
        '_log',
        '_wall_offset_ms',
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
        self._wall_offset_ms = self._clock.wall_time() - self._clock.now()

    def accept(self, announcement: Announcement) -> bool:
        """Apply an announcement; return False if it is out of date.

        One that says that the target leaves holds even then.
        """
        last = self._last
        if announcement.leaving:
            self._record_departure(announcement, DepartureSource.ANNOUNCED)
        reason = self._reason_to_ignore(announcement)
        if reason:
            self._log.write(
                announcement_ignored(
                    announcement.incarnation, announcement.sequence, reason
                )
            )
            return False
        self._last = announcement
        self._last_ms = self._clock.now()
        self._apply(announcement, last)
        if last is not None and last.incarnation != announcement.incarnation:
            self._record_departure(last, DepartureSource.REPLACED)
        return True

    def deregister(self, instance: str) -> None:
        """Record that an instance has left.

        It concerns the incarnation that has announced itself last. If that is
        unknown, as this process started later, it concerns all incarnations
        that have started up to now.
        """
        last = self._last
        if last is not None and last.instance == instance:
            self._record_departure(last, DepartureSource.DEREGISTERED)
            return
        earliest = Incarnation(instance=instance, started_ms=0)
        if self._departures.find(earliest) is None:
            departure = Departure(
                instance=instance, started_ms=self._wall_time(), earlier=True
            )
            self._departures.record(departure, DepartureSource.DEREGISTERED)

    def _reason_to_ignore(self, announcement: Announcement) -> str:
        """Return why an announcement is out of date, empty if it is not."""
        left_by = self._departures.find(announcement.incarnation)
        if left_by is not None and not announcement.leaving:
            return f'the target has left, known from: {left_by.value}'
        last = self._last
        if last is None:
            return ''
        if announcement.incarnation == last.incarnation:
            if announcement.sequence <= last.sequence:
                return f'sequence {last.sequence} has arrived before'
        elif announcement.started_ms < last.started_ms and self._is_live(last):
            return 'a target that started later announces itself'
        return ''

    def _is_live(self, last: Announcement) -> bool:
        # The wall clock may be set back between two incarnations, so that
        # their start times do not tell which one is the later.
        if self._departures.find(last.incarnation) is not None:
            return False
        return self._clock.now() - self._last_ms < _SILENCE_MS

    def _record_departure(
        self, announcement: Announcement, source: DepartureSource
    ) -> None:
        departure = Departure(
            instance=announcement.instance, started_ms=announcement.started_ms
        )
        self._departures.record(departure, source)

    def _wall_time(self) -> int:
        # The clock may have been set forward since the start of the process.
        # With a time in the future, a target that restarts now would count as
        # one that started before.
        elapsed_ms = int(self._wall_offset_ms + self._clock.now())
        return min(self._clock.wall_time(), elapsed_ms)

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
