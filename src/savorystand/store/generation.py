"""The generation of a store, which changes when it comes back from a copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias
from typing import final

RestoreObserver: TypeAlias = Callable[[], object]


@final
class StoreGeneration:
    """Tracks the generation that the responses of a store name.

    No generation counts as the newest: responses of two copies of a store may
    alternate.
    """

    __slots__ = ('_answered', '_current', '_observers')

    def __init__(self) -> None:
        """Start without a response."""
        self._answered = False
        self._current: int | None = None
        self._observers: list[RestoreObserver] = []

    def add_observer(self, observer: RestoreObserver) -> None:
        """Call ``observer`` after each change of the generation."""
        self._observers.append(observer)

    def observe(self, generation: int | None) -> None:
        """Record the generation of a response, None if it names none."""
        is_first = not self._answered
        self._answered = True
        if generation is None or generation == self._current:
            return
        self._current = generation
        if is_first:
            return
        for observer in self._observers:
            observer()
