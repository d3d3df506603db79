"""Event loop on virtual time, which jumps to the next timer."""

from __future__ import annotations

import asyncio
from selectors import SelectSelector
from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock

if TYPE_CHECKING:
    from selectors import SelectorKey

_INITIAL_SECONDS = 1000.0


class DeadlockError(Exception):
    """All tasks wait and no timer is set, so that no task can continue."""


class VirtualTimeSelector(SelectSelector):
    """Advances virtual time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        """Start at an arbitrary virtual time."""
        super().__init__()
        self.now_seconds = _INITIAL_SECONDS

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[SelectorKey, int]]:
        """Advance time by ``timeout`` seconds; return what is ready now.

        Raises:
            DeadlockError: no timer is set.
        """
        if timeout is None:
            raise DeadlockError
        self.now_seconds += max(0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks on the virtual time of a ``VirtualTimeSelector``."""

    def __init__(self) -> None:
        """Create a loop that starts at the initial virtual time."""
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_seconds


class LoopClock(Clock):
    """The time of the running loop; an offset makes node clocks differ."""

    __slots__ = ('_offset_ms',)

    def __init__(self, *, offset_ms: float = 0) -> None:
        """Create a clock that adds ``offset_ms`` to the time of the loop."""
        super().__init__()
        self._offset_ms = offset_ms

    def now(self) -> float:
        """Return the virtual time plus the offset in milliseconds."""
        return loop_ms() + self._offset_ms

    def wall_time(self) -> int:
        """Return the same virtual time as ``now``, rounded down."""
        return int(self.now())


def loop_ms() -> float:
    """Return the running loop's time in milliseconds."""
    return asyncio.get_running_loop().time() * MS_PER_SECOND
