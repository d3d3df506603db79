"""Decides from departures and announcements which incarnations have left."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.departures.announced import MAX_DELAY_MS
from savorystand.departures.announced import AnnouncedIncarnations
from savorystand.departures.departure import Departure
from savorystand.departures.departure import DepartureSource

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.clock import Clock
    from savorystand.departures.announced import AnnouncedIncarnation
    from savorystand.target_notice import Incarnation

# The wall clock of a machine may be set by this much between two starts of its
# target, in either direction.
_MAX_CLOCK_STEP_MS = 5000
# A late announcement can only be that of a recent incarnation.
_MAX_DEPARTURES = 16


@final
@dataclass(slots=True, kw_only=True)
class _Record:
    """How and when a departure was recorded, in monotonic milliseconds.

    Announcements of incarnations before the departed one arrive until
    ``older_until_ms`` at the latest. ``was_heard`` tells whether that one had
    announced itself when it left.
    """

    source: DepartureSource
    recorded_ms: float
    older_until_ms: float
    was_heard: bool


@final
class DepartureRecords:
    """Departures of incarnations of the local target, the latest 16.

    ``docs/decisions/departures.md`` lists what each message proves about which
    incarnations. An incarnation that a departure names has left for good.
    One that it may concern gets no work until its announcements show that it
    lives.
    """

    __slots__ = ('_announced', '_clock', '_records')

    def __init__(self, *, clock: Clock) -> None:
        """Start without departures and announcements."""
        self._clock = clock
        self._announced = AnnouncedIncarnations()
        self._records: dict[Departure, _Record] = {}

    def hear(
        self, incarnation: Incarnation, sequence: int, *, leaving: bool
    ) -> bool:
        """Record an announcement; return False if a later one arrived before.

        ``leaving`` is True if it says that the incarnation leaves.
        """
        now = self._clock.now()
        return self._announced.add(incarnation, sequence, now, leaving=leaving)

    def find(self, incarnation: Incarnation) -> DepartureSource | None:
        """Return how an incarnation is known to have left.

        None if it may get work.
        """
        announced = self._announced.get(incarnation)
        for departure, record in self._records.items():
            if _applies(departure, record, incarnation, announced):
                return record.source
        return None

    def held(self, incarnation: Incarnation) -> DepartureSource | None:
        """Return how it became known that an incarnation itself has left.

        None if it was never said, or only that another one has left.
        """
        announced = self._announced.get(incarnation)
        for departure, record in self._records.items():
            if not departure.earlier and not departure.names(incarnation):
                continue
            if _applies(departure, record, incarnation, announced):
                return record.source
        return None

    def source(self, departure: Departure) -> DepartureSource | None:
        """Return how a departure became known, None if it is not known."""
        record = self._records.get(departure)
        return None if record is None else record.source

    def departures(self) -> tuple[Departure, ...]:
        """Return all departures, the one that was recorded first first."""
        return tuple(self._records)

    def announced(self, instance: str) -> tuple[Incarnation, ...]:
        """Return the incarnations of an instance that have been heard."""
        return tuple(self._announced.of_instance(instance))

    def latest_start(self, instance: str) -> int:
        """Return the latest start time of an instance that is known.

        It is that of an incarnation that was heard or of a departure without a
        start time, in milliseconds since the Unix epoch; 0 without either.
        """
        heard = (each.started_ms for each in self.announced(instance))
        earlier = (each.started_ms for each in self._unnamed(instance))
        return max((0, *heard, *earlier))

    def is_news(self, departure: Departure, source: DepartureSource) -> bool:
        """Return True if a departure changes what is known."""
        known = self.source(departure)
        if known is None:
            # A later departure without a start time includes earlier ones.
            return not departure.earlier or all(
                departure.started_ms > other.started_ms
                for other in self._unnamed(departure.instance)
            )
        if source is DepartureSource.REPLACED:
            # The incarnation may have come back in between.
            return known is source
        return source.is_promise and not known.is_kept

    def needs_row(self, departure: Departure) -> bool:
        """Return True if a departure is worth a write to the row of the node.

        False also if it is not known.
        """
        source = self.source(departure)
        return source is not None and source.needs_row

    def put(
        self, departure: Departure, source: DepartureSource
    ) -> tuple[Departure, ...]:
        """Record a departure as learned now; return those it takes out.

        Incarnations that it may concern have to show anew that they live.
        """
        self._records.pop(departure, None)
        dropped: tuple[Departure, ...] = ()
        if departure.earlier and source.needs_row:
            dropped = tuple(self._unnamed(departure.instance))
        if len(self._records) - len(dropped) >= _MAX_DEPARTURES:
            dropped = (*dropped, next(iter(self._records)))
        for known in dropped:
            self._records.pop(known, None)
        record = self._describe(departure, source)
        self._records[departure] = record
        self._announced.doubt(departure.instance)
        return dropped

    def _unnamed(self, instance: str) -> Iterator[Departure]:
        return (
            departure
            for departure in self._records
            if departure.earlier and departure.instance == instance
        )

    def _describe(
        self, departure: Departure, source: DepartureSource
    ) -> _Record:
        now = self._clock.now()
        first_heard_ms = self._first_heard(departure)
        was_heard = first_heard_ms is not None
        started_by_ms = now if first_heard_ms is None else first_heard_ms
        return _Record(
            source=source,
            recorded_ms=now,
            older_until_ms=(
                math.inf if departure.earlier else started_by_ms + MAX_DELAY_MS
            ),
            was_heard=was_heard or source.precedes_start,
        )

    def _first_heard(self, departure: Departure) -> float | None:
        for incarnation in self.announced(departure.instance):
            announced = self._announced.get(incarnation)
            if announced is not None and departure.names(incarnation):
                return announced.first_ms
        return None


def _applies(
    departure: Departure,
    record: _Record,
    incarnation: Incarnation,
    announced: AnnouncedIncarnation | None,
) -> bool:
    named = departure.names(incarnation)
    if record.source is DepartureSource.REPLACED:
        # Concluded from the announcement of another incarnation, which may be
        # the late one.
        return named and not _is_live(record, announced)
    if named or incarnation.instance != departure.instance:
        return named
    if _is_later(departure, record, incarnation, announced):
        return False
    return not _is_live(record, announced)


def _is_later(
    departure: Departure,
    record: _Record,
    incarnation: Incarnation,
    announced: AnnouncedIncarnation | None,
) -> bool:
    # True if the incarnation has started after the departed one for certain.
    if announced is not None and announced.last_ms >= record.older_until_ms:
        return True
    tolerance_ms = _MAX_CLOCK_STEP_MS
    if record.was_heard and not departure.earlier:
        was_present = (
            announced is not None and announced.first_ms <= record.recorded_ms
        )
        if was_present or record.source.precedes_start:
            # Heard in the order of their start times.
            tolerance_ms = 0
    return incarnation.started_ms > departure.started_ms + tolerance_ms


def _is_live(record: _Record, announced: AnnouncedIncarnation | None) -> bool:
    # A target that leaves does not announce that it is ready. So announcements
    # of a time from which none is under way any more are those of another one.
    if announced is None:
        return False
    return announced.live_ms >= record.recorded_ms + MAX_DELAY_MS
