"""An event loop whose timers fire at once and move its time."""

from __future__ import annotations

import asyncio
from selectors import SelectSelector
from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock

if TYPE_CHECKING:
    from selectors import SelectorKey

_START_SECONDS = 1000.0


class StuckError(Exception):
    """All tasks wait and no timer is set: nothing can happen any more."""


class SkippingSelector(SelectSelector):
    """Moves time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        """Start at an arbitrary time, in seconds."""
        super().__init__()
        self.elapsed = _START_SECONDS

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[SelectorKey, int]]:
        """Return what is ready; skip ``timeout`` seconds.

        Raises:
            StuckError: no timer is set.
        """
        if timeout is None:
            raise StuckError
        self.elapsed += max(0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks on the time of a ``SkippingSelector``."""

    def __init__(self) -> None:
        """Start a loop without sockets."""
        self._skipping = SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._skipping.elapsed


class LoopClock(Clock):
    """The running loop's time; ``offset_ms`` tells nodes' clocks apart."""

    __slots__ = ('_offset_ms',)

    def __init__(self, *, offset_ms: float = 0) -> None:
        """Show the loop's time plus ``offset_ms``."""
        super().__init__()
        self._offset_ms = offset_ms

    def now(self) -> float:
        """Return virtual milliseconds."""
        return loop_ms() + self._offset_ms

    def wall_time(self) -> int:
        """Return the same time."""
        return int(self.now())


def loop_ms() -> float:
    """Return the running loop's time in milliseconds."""
    return asyncio.get_running_loop().time() * MS_PER_SECOND
