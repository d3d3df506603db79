"""Whether an incarnation of the local target may get work."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

import anyio

from savorystand.departures.departure import Departure
from savorystand.departures.departure import DepartureSource
from savorystand.departures.records import DepartureRecords
from savorystand.reporting.target_events import departure_saved
from savorystand.reporting.target_events import departure_unsaved
from savorystand.reporting.target_events import target_departed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.clock import Clock
    from savorystand.reporting.logs import EventLog
    from savorystand.target_notice import Incarnation

DepartureObserver: TypeAlias = Callable[[Departure, DepartureSource], None]
Observer: TypeAlias = Callable[[], object]

# Departures that the next process learns of. Nodes that start together read the
# rows of all nodes, so that a row is kept short.
_MAX_LASTING = 3


@final
class Departures:
    """Departures of incarnations of the local target, and who hears of them.

    ``records`` decides which incarnations have left.

    A departure that this node acknowledges has to outlast its process. It is
    saved once the row of this node in the store holds it; see ``Registration``.
    """

    __slots__ = (
        '_clock',
        '_known_observers',
        '_log',
        '_observers',
        '_unsaved',
        '_unsaved_observers',
        '_waiters',
        'earlier_known',
        'records',
    )

    def __init__(self, *, clock: Clock, log: EventLog) -> None:
        """Start without departures; write new ones to ``log``."""
        self._clock = clock
        self._log = log
        self.records = DepartureRecords(clock=clock)
        # Monotonic time in milliseconds at which each was recorded.
        self._unsaved: dict[Departure, float] = {}
        self._waiters: set[anyio.Event] = set()
        # False while departures before the start are awaited.
        self.earlier_known = True
        self._observers: list[DepartureObserver] = []
        self._known_observers: list[Observer] = []
        self._unsaved_observers: list[Observer] = []

    def add_observer(self, observer: DepartureObserver) -> None:
        """Pass each new departure and its source to ``observer``."""
        self._observers.append(observer)

    def add_known_observer(self, observer: Observer) -> None:
        """Call ``observer`` once the departures before the start are known."""
        self._known_observers.append(observer)

    def add_unsaved_observer(self, observer: Observer) -> None:
        """Call ``observer`` when there is a departure to save."""
        self._unsaved_observers.append(observer)

    def await_earlier(self) -> None:
        """Give no target work before ``record_earlier``."""
        self.earlier_known = False

    def stop_awaiting(self) -> None:
        """Give targets work although earlier departures are not known."""
        if not self.earlier_known:
            self.earlier_known = True
            for observer in self._known_observers:
                observer()

    def find(self, incarnation: Incarnation) -> DepartureSource | None:
        """Return how an incarnation is known to have left.

        None if it may get work.
        """
        return self.records.find(incarnation)

    def lasting(self) -> tuple[Departure, ...]:
        """Return the departures that the next process has to learn of."""
        recent = self.records.departures()[-_MAX_LASTING:]
        older = tuple(self._unsaved.keys() - set(recent))
        return older + recent

    def needs_saving(self, saved: frozenset[Departure]) -> bool:
        """Return True if a lasting departure is not among the ``saved`` ones.

        Some are saved with the next departure only: nobody relies on the node
        to remember them, or the row holds them in another form.
        """
        return any(
            self.records.needs_row(departure)
            for departure in self.lasting()
            if departure not in saved
        )

    def record(self, departure: Departure, source: DepartureSource) -> None:
        """Record a departure.

        No effect if it is known already, unless the target relies on it from
        now on, and it may not be saved yet.
        """
        if not self.records.is_news(departure, source):
            return
        for dropped in self.records.put(departure, source):
            self._unsaved.pop(dropped, None)
        self._log.write(target_departed(departure, source))
        for observer in self._observers:
            observer(departure, source)
        if source.is_promise:
            self._unsaved[departure] = self._clock.now()
            for notify in self._unsaved_observers:
                notify()

    def record_earlier(self, departures: Iterable[Departure]) -> None:
        """Record what an earlier process at this address has saved."""
        for departure in departures:
            self.record(departure, DepartureSource.STORE)
        self.stop_awaiting()

    def mark_saved(self, departures: Iterable[Departure]) -> None:
        """Record that the row of this node holds these departures."""
        for departure in departures:
            recorded_ms = self._unsaved.pop(departure, None)
            if recorded_ms is not None:
                elapsed_ms = self._clock.now() - recorded_ms
                self._log.write(departure_saved(departure, elapsed_ms))
        if not self._unsaved:
            for waiter in self._waiters:
                waiter.set()

    async def wait_saved(self, max_wait_ms: float) -> bool:
        """Wait until all departures are saved; return False if it took longer.

        A departure must be acknowledged only once it is saved.
        """
        if not self._unsaved:
            return True
        waiter = anyio.Event()
        self._waiters.add(waiter)
        timer = self._clock.call_later(max_wait_ms, waiter.set)
        try:
            await waiter.wait()
        finally:
            timer.cancel()
            self._waiters.discard(waiter)
        for departure in self._unsaved:
            self._log.write(departure_unsaved(departure, max_wait_ms))
        return not self._unsaved
