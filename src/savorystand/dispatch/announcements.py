"""Announcements that the local target makes of itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.dispatch.local_pool import LocalPool
from savorystand.reporting.events import target_changed
from savorystand.reporting.logs import EventLog

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Announcement:
    """What a target says of itself.

    ``instance`` and ``started_ms``, wall time at its start, name one life of
    the target; ``sequence`` rises with each announcement in that life.
    """

    instance: str
    started_ms: int
    sequence: int
    pool: str
    slots: int
    leaving: bool


class Announcements:
    """Takes announcements in the order in which they were made.

    A late announcement, of this or of an earlier life, must not bring back a
    target that has said since that it leaves.
    """

    __slots__ = ('_deregistered', '_kernel', '_last', '_log')

    def __init__(self, *, kernel: Kernel) -> None:
        """Pass what is new on to the ``local pool`` of ``kernel``."""
        self._kernel = kernel
        self._log = kernel.find('log', EventLog)
        self._last: Announcement | None = None
        # The last life whose end was announced.
        self._deregistered = ''

    def accept(self, announcement: Announcement) -> bool:
        """Follow an announcement; return False if a later one is known."""
        last = self._last
        if last is not None and _incarnation(announcement) == _incarnation(
            last
        ):
            if announcement.sequence <= last.sequence:
                return False
        elif last is not None and announcement.started_ms < last.started_ms:
            return False
        if announcement.instance == self._deregistered and not (
            last is None or announcement.started_ms > last.started_ms
        ):
            return False
        self._last = announcement
        self._apply(announcement, last)
        return True

    def deregister(self, instance: str) -> None:
        """Take the target's word that it is gone or about to be."""
        if self._last is not None and self._last.instance != instance:
            return
        self._deregistered = instance
        self._kernel.find('local pool', LocalPool).leave()
        self._log.write(target_changed(instance, '', 'departed', 0))

    def _apply(
        self, announcement: Announcement, last: Announcement | None
    ) -> None:
        local_pool = self._kernel.find('local pool', LocalPool)
        if announcement.leaving:
            local_pool.leave()
        else:
            local_pool.announce(
                announcement.pool,
                slots=announcement.slots,
                instance=announcement.instance,
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


def _incarnation(announcement: Announcement) -> tuple[str, int]:
    return announcement.instance, announcement.started_ms


def _announced_state(announcement: Announcement) -> tuple[object, ...]:
    return (
        announcement.instance,
        announcement.started_ms,
        announcement.pool,
        announcement.slots,
        announcement.leaving,
    )
