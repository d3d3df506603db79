"""Logs the times in which the process of a node did not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.reporting.events import process_paused
from savorystand.reporting.logs import EventLog

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel

# The same as that of the checks of connections, which share the wake-up.
_INTERVAL_MS = 500
_MIN_PAUSE_MS = 250


class PauseLog(Service):
    """Writes an event whenever the event loop was late by a quarter second.

    A request that is answered late by a node that stood still looks like one
    that had to wait, unless the log tells.
    """

    __slots__ = ('_clock', '_log')

    def __init__(self, *, kernel: Kernel) -> None:
        """Write to the ``log`` of ``kernel``."""
        self._clock = kernel.find('clock', Clock)
        self._log = kernel.find('log', EventLog)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Compare the time of each wake-up with the expected one."""
        task_status.started()
        while True:
            before_ms = self._clock.now()
            await self._clock.tick(_INTERVAL_MS)
            late_ms = self._clock.now() - before_ms - _INTERVAL_MS
            if late_ms >= _MIN_PAUSE_MS:
                self._log.write(process_paused(late_ms))
