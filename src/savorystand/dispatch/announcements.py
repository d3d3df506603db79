"""Processes the announcements that the local target sends to its node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.dispatch.local_pool import LocalPool
from savorystand.reporting.events import target_changed
from savorystand.reporting.logs import EventLog
from savorystand.target_notice import Incarnation

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel


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


class Announcements:
    """Applies announcements and rejects those that arrive out of order.

    A delayed announcement, of this or of an earlier incarnation, must not
    return a target to service that has since announced that it leaves.
    """

    __slots__ = ('_deregistered', '_kernel', '_last', '_log')

    def __init__(self, *, kernel: Kernel) -> None:
        """Apply announcements to the ``local pool`` of ``kernel``."""
        self._kernel = kernel
        self._log = kernel.find('log', EventLog)
        self._last: Announcement | None = None
        # Instance that was deregistered last, empty if none was.
        self._deregistered = ''

    def accept(self, announcement: Announcement) -> bool:
        """Apply an announcement; return False if it is out of date."""
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
        """Take the local target out of its pool.

        Does nothing if the last announcement was that of another instance.
        """
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
                incarnation=_incarnation(announcement),
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


def _incarnation(announcement: Announcement) -> Incarnation:
    return Incarnation(
        instance=announcement.instance, started_ms=announcement.started_ms
    )


def _announced_state(announcement: Announcement) -> tuple[object, ...]:
    return (
        announcement.instance,
        announcement.started_ms,
        announcement.pool,
        announcement.slots,
        announcement.leaving,
    )
