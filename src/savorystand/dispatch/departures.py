"""Says whether an incarnation of the local target may get work."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.departure import Departure
from savorystand.departure import DepartureSource
from savorystand.reporting.target_events import target_departed

if TYPE_CHECKING:
    from savorystand.reporting.logs import EventLog
    from savorystand.target_notice import Incarnation

DepartureObserver: TypeAlias = Callable[[Departure, DepartureSource], None]

# A late announcement can only be that of a recent incarnation.
_MAX_DEPARTURES = 16


@final
class Departures:
    """Departures of incarnations of the local target, the latest 16.

    Whatever an incarnation announces after its departure, it gets no work.
    """

    __slots__ = ('_log', '_observers', '_sources')

    def __init__(self, *, log: EventLog) -> None:
        """Start without departures; write new ones to ``log``."""
        self._log = log
        self._sources: dict[Departure, DepartureSource] = {}
        self._observers: list[DepartureObserver] = []

    def add_observer(self, observer: DepartureObserver) -> None:
        """Pass each new departure and its source to ``observer``."""
        self._observers.append(observer)

    def find(self, incarnation: Incarnation) -> DepartureSource | None:
        """Return how an incarnation is known to have left.

        None if it may get work.
        """
        for departure, source in self._sources.items():
            if departure.covers(incarnation):
                return source
        return None

    def record(self, departure: Departure, source: DepartureSource) -> None:
        """Record a departure; no effect if it is known already."""
        if departure in self._sources:
            return
        if len(self._sources) >= _MAX_DEPARTURES:
            del self._sources[next(iter(self._sources))]
        self._sources[departure] = source
        self._log.write(target_departed(departure, source))
        for observer in self._observers:
            observer(departure, source)
