"""The importance up to which calls are refused or delayed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Importance

if TYPE_CHECKING:
    from savorystand.clock import Clock

_WINDOW_MS = 200
# A call counts that is refused for want of room or queues for longer.
_DELAY_MS = 30
# Share of a class that has to count, and the fewest calls that tell it.
_MIN_OVERLOADED_FRACTION = 0.1
_MIN_CALLS = 3


@final
class OverloadedRank:
    """Tells callers which calls they should not have let in.

    ``AdmittedRank`` moves when calls above a class queue. Here the class
    itself counts: its calls may be the last of a chain, and the work that was
    done above them is lost when they are refused.
    """

    __slots__ = ('_calls', '_clock', '_rank', '_overloaded', '_window_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start without pressure."""
        self._clock = clock
        self._rank = 0
        self._window_ms = clock.now()
        self._calls = _zeros()
        self._overloaded = _zeros()

    def current(self) -> int:
        """Return the rank below which calls are overloaded, 0 for none."""
        now = self._clock.now()
        if now - self._window_ms >= _WINDOW_MS:
            self._window_ms = now
            self._rank = self._highest_overloaded() + 1
            self._calls = _zeros()
            self._overloaded = _zeros()
        return self._rank

    def record(self, rank: int, delay_ms: float, *, refused: bool) -> None:
        """Record how long a call queued and whether it found no room."""
        self.current()
        self._calls[rank] += 1
        self._overloaded[rank] += refused or delay_ms > _DELAY_MS

    def _highest_overloaded(self) -> int:
        for rank in reversed(Importance):
            calls = self._calls[rank]
            if calls >= _MIN_CALLS:
                if self._overloaded[rank] >= _MIN_OVERLOADED_FRACTION * calls:
                    return rank
        return -1


def _zeros() -> list[int]:
    return [0 for _ in Importance]
