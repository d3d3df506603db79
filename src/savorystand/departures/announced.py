"""What the announcements of an incarnation show about it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.target_notice import Incarnation

# Longest time that an announcement is on its way. One that arrives later than
# this after an event was sent after it.
MAX_DELAY_MS = 6000
# Two intervals of the announcements of the platform's targets. An incarnation
# that is heard again within this time goes on announcing itself.
MAX_SILENCE_MS = 3000
# Announcements that arrive together were held up on the way, so that only
# those of more than one interval show that a target lives.
_MIN_RUN_MS = 2500
_MAX_INCARNATIONS = 16


@final
class AnnouncedIncarnation:
    """The announcements of one incarnation; times are monotonic.

    A run is a series of announcements without a long silence, in which the
    incarnation says that it is ready. ``live_ms`` is the last time at which a
    run was long enough to be that of a live target.
    """

    __slots__ = (
        '_has_start_time',
        '_run_ms',
        '_sequence',
        'first_ms',
        'last_ms',
        'live_ms',
    )

    def __init__(self, *, now: float, has_start_time: bool) -> None:
        """Start without announcements; the first one arrives at ``now``.

        Without a start time they may be those of several incarnations, one
        after the other.
        """
        self._has_start_time = has_start_time
        self.first_ms = now
        self.last_ms = now
        self.live_ms = -math.inf
        self._run_ms: float | None = None
        self._sequence = -math.inf

    def add(self, sequence: int, now: float, *, leaving: bool) -> bool:
        """Record an announcement; return False if a later one arrived before.

        ``sequence`` increases with each announcement of the incarnation.
        """
        was_silent = now - self.last_ms > MAX_SILENCE_MS
        counts_anew = was_silent and not self._has_start_time
        if sequence <= self._sequence and not counts_anew:
            return False
        if leaving or was_silent:
            self._run_ms = None
        self._sequence = sequence
        self.last_ms = now
        if leaving:
            return True
        if self._run_ms is None:
            self._run_ms = now
        if now - self._run_ms >= _MIN_RUN_MS:
            self.live_ms = now
        return True

    def doubt(self) -> None:
        """Begin a new run with the next announcement."""
        self._run_ms = None


@final
class AnnouncedIncarnations:
    """The 16 incarnations that have announced themselves last."""

    __slots__ = ('_incarnations',)

    def __init__(self) -> None:
        """Start without incarnations."""
        self._incarnations: dict[Incarnation, AnnouncedIncarnation] = {}

    def get(self, incarnation: Incarnation) -> AnnouncedIncarnation | None:
        """Return what is known of an incarnation, None if nothing is."""
        return self._incarnations.get(incarnation)

    def add(
        self,
        incarnation: Incarnation,
        sequence: int,
        now: float,
        *,
        leaving: bool,
    ) -> bool:
        """Record an announcement; return False if a later one arrived before.

        The parameters are those of ``AnnouncedIncarnation.add``.
        """
        known = self._incarnations.pop(incarnation, None)
        if known is None:
            known = AnnouncedIncarnation(
                now=now, has_start_time=incarnation.started_ms > 0
            )
            if len(self._incarnations) >= _MAX_INCARNATIONS:
                del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[incarnation] = known
        return known.add(sequence, now, leaving=leaving)

    def of_instance(self, instance: str) -> Iterator[Incarnation]:
        """Yield the incarnations of an instance, the last one first."""
        for incarnation in reversed(self._incarnations):
            if incarnation.instance == instance:
                yield incarnation

    def doubt(self, instance: str) -> None:
        """Begin a new run of each incarnation of an instance."""
        for incarnation in self.of_instance(instance):
            self._incarnations[incarnation].doubt()
