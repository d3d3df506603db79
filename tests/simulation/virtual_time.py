"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class _JumpingSelector(selectors.SelectSelector):
    """Reports no waiting time, but counts it in ``elapsed_s``."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = float(0)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('no task can continue and no timer is set')
        self.elapsed_s += max(0, timeout)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.elapsed_s


class LoopClock(Clock):
    """A clock that reads the time of the running event loop."""

    def now(self) -> float:
        """Return the time of the event loop in milliseconds."""
        return self.loop().time() * MS_PER_SECOND

    def wall_time(self) -> int:
        """Return the same time as ``now``."""
        return int(self.now())


def run_in_virtual_time(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function; its timers fire without any delay."""
    anyio.run(scenario, backend_options={'loop_factory': _VirtualTimeLoop})
