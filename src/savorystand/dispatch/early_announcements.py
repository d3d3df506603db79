"""Announcements that arrive before the first tables."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.departures.announced import MAX_SILENCE_MS

if TYPE_CHECKING:
    from savorystand.clock import Clock
    from savorystand.dispatch.announcement import Announcement
    from savorystand.target_notice import Incarnation

# Any process can send announcements.
_MAX_ANNOUNCEMENTS = 16


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Arrival:
    announcement: Announcement
    at_ms: float


@final
class EarlyAnnouncements:
    """The last announcement of each incarnation, of 16 at most.

    They are kept apart from all that the node knows: without tables, the
    messages of other writers cannot be told from those of the target.
    """

    __slots__ = ('_arrivals', '_clock')

    def __init__(self, *, clock: Clock) -> None:
        """Start without announcements."""
        self._clock = clock
        self._arrivals: dict[Incarnation, _Arrival] = {}

    def add(self, announcement: Announcement) -> None:
        """Keep an announcement, unless its incarnation is known to leave."""
        incarnation = announcement.incarnation
        known = self._arrivals.pop(incarnation, None)
        if known is not None and known.announcement.leaving:
            announcement = known.announcement
        if len(self._arrivals) >= _MAX_ANNOUNCEMENTS:
            self._arrivals.pop(next(iter(self._arrivals)))
        self._arrivals[incarnation] = _Arrival(
            announcement=announcement, at_ms=self._clock.now()
        )

    def forget(self, instance: str) -> None:
        """Drop the announcements of an instance, which has deregistered."""
        for incarnation in tuple(self._arrivals):
            if incarnation.instance == instance:
                self._arrivals.pop(incarnation)

    def take(self) -> tuple[Announcement, ...]:
        """Return what still holds, in the order of arrival, and forget all.

        A target that is ready goes on announcing itself, so that an old
        announcement of one need not be that of a live target.
        """
        arrivals = tuple(self._arrivals.values())
        self._arrivals.clear()
        since_ms = self._clock.now() - MAX_SILENCE_MS
        return tuple(
            arrival.announcement
            for arrival in arrivals
            if arrival.announcement.leaving or arrival.at_ms >= since_ms
        )
