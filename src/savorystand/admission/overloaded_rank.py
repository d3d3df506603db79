"""The importance up to which calls are refused or delayed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Importance

if TYPE_CHECKING:
    from savorystand.clock import Clock

_WINDOW_MS = 200
# Calls that queue for longer than this are evidence of overload, as are calls
# refused for lack of capacity.
_MAX_DELAY_MS = 30
# A class is overloaded if at least this fraction of its calls is refused or
# delayed; fewer calls than the minimum show nothing.
_MIN_OVERLOADED_FRACTION = 0.1
_MIN_CALLS = 3


@final
class OverloadedRank:
    """Reports the importance up to which the target is overloaded.

    ``AdmittedRank`` rises when calls more important than a class queue. This
    signal depends on the calls of the class itself: they may be the last of a
    call chain, and refusing them wastes the work done upstream. It tells
    callers which calls to refuse before any work is done.
    """

    __slots__ = ('_calls', '_clock', '_rank', '_overloaded', '_window_start_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start without overload."""
        self._clock = clock
        self._rank = 0
        self._window_start_ms = clock.now()
        self._calls = _zeros_per_rank()
        self._overloaded = _zeros_per_rank()

    def current(self) -> int:
        """Return the rank below which calls are refused or delayed, else 0."""
        now = self._clock.now()
        if now - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now
            self._rank = self._highest_overloaded() + 1
            self._calls = _zeros_per_rank()
            self._overloaded = _zeros_per_rank()
        return self._rank

    def record(self, rank: int, delay_ms: float, *, refused: bool) -> None:
        """Record the queueing delay of a call and whether it was refused."""
        self.current()
        self._calls[rank] += 1
        self._overloaded[rank] += refused or delay_ms > _MAX_DELAY_MS

    def _highest_overloaded(self) -> int:
        for rank in reversed(Importance):
            calls = self._calls[rank]
            if calls >= _MIN_CALLS:
                if self._overloaded[rank] >= _MIN_OVERLOADED_FRACTION * calls:
                    return rank
        return -1


def _zeros_per_rank() -> list[int]:
    return [0 for _ in Importance]
