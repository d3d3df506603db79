"""When the store is known to have had no newer revision of the tables."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.membership.conversion import MAX_NUMBER

if TYPE_CHECKING:
    from savorystand.clock import Clock
    from savorystand.wire.codec import Message

ConfirmationObserver: TypeAlias = Callable[[float], object]
GenerationObserver: TypeAlias = Callable[[int | None], object]

# Older confirmations are not passed on: all nodes read the store long before.
_MAX_AGE_MS = 60000


@final
class StoreConfirmation:
    """The last time at which the store confirmed the revision in force.

    Few nodes read the store. The others learn from membership datagrams how
    long ago it confirmed a revision to some node, and read it themselves if
    that is too long ago. So a node need not know which nodes read, or whether
    they have failed.

    An age is measured on the clock of each node in turn, so that clocks need
    not agree. The time for which a datagram is under way is not part of it.
    """

    __slots__ = (
        '_clock',
        '_confirmed_ms',
        '_generation',
        '_generation_observers',
        '_known',
        '_observers',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start without a confirmation; the age counts from now on."""
        self._clock = clock
        self._confirmed_ms = clock.now()
        self._known = False
        self._generation: int | None = None
        self._observers: list[ConfirmationObserver] = []
        self._generation_observers: list[GenerationObserver] = []

    def add_observer(self, observer: ConfirmationObserver) -> None:
        """Call ``observer`` after each confirmation.

        It gets the milliseconds by which the time of the last confirmation has
        advanced.
        """
        self._observers.append(observer)

    def add_generation_observer(self, observer: GenerationObserver) -> None:
        """Call ``observer`` with the generation that a peer confirms."""
        self._generation_observers.append(observer)

    def age_ms(self) -> float:
        """Return the time since the last confirmation in milliseconds.

        Before the first one it is the time since the start.
        """
        return self._clock.now() - self._confirmed_ms

    def confirm(self, generation: int | None) -> None:
        """Record that the store has just confirmed the revision in force."""
        self._generation = generation
        self._advance(self._clock.now())

    def receive(self, gossip: Message, revision: int) -> None:
        """Record the confirmation in a datagram of a peer, if it is later.

        It counts only if the peer has the same ``revision`` in force. A node
        with another one either lacks a change or knows a later one.
        """
        age_ms = gossip.confirmed_age_ms
        if age_ms is None or not 0 <= age_ms <= _MAX_AGE_MS:
            return
        confirmed_ms = self._clock.now() - age_ms
        later = not self._known or confirmed_ms > self._confirmed_ms
        if gossip.revision != revision or not later:
            return
        generation = gossip.store_generation
        if generation is not None and 0 <= generation <= MAX_NUMBER:
            self._generation = generation
            for observer in self._generation_observers:
                observer(generation)
        self._advance(confirmed_ms)

    def add_to(self, gossip: Message) -> None:
        """Add the last confirmation to a datagram that is about to be sent."""
        age_ms = int(self.age_ms())
        if self._known and age_ms <= _MAX_AGE_MS:
            gossip.confirmed_age_ms = age_ms
            gossip.store_generation = self._generation

    def _advance(self, confirmed_ms: float) -> None:
        advance_ms = confirmed_ms - self._confirmed_ms
        self._confirmed_ms = confirmed_ms
        self._known = True
        for observer in self._observers:
            observer(advance_ms)
