"""Runs a service again after an unexpected error."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from logbook import Logger

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.clock import Clock
    from savorystand.kernel.service import Service

_RESTART_DELAY_MS = 200
# A service that fails more often than this within the window ends the process,
# so that a fresh one without the faulty state takes its place.
_MAX_RESTARTS = 5
_RESTART_WINDOW_MS = 30000
_log = Logger('savorystand')


class _FirstStart:
    """Passes on only the first of the reports that a service has started."""

    __slots__ = ('_task_status', 'has_started')

    def __init__(self, task_status: TaskStatus[None]) -> None:
        self._task_status = task_status
        self.has_started = False

    def started(self, value: None = None) -> None:  # noqa: WPS110
        if not self.has_started:
            self.has_started = True
            self._task_status.started(value)


class Supervisor:
    """Keeps one service running.

    An error that the service does not handle costs the work that it had in
    progress, not the other services of the process.
    """

    __slots__ = ('_clock', '_failed_ms', '_name', '_service')

    def __init__(self, *, name: str, service: Service, clock: Clock) -> None:
        """Supervise ``service``; ``name`` stands in the log."""
        self._name = name
        self._service = service
        self._clock = clock
        self._failed_ms: deque[float] = deque(maxlen=_MAX_RESTARTS + 1)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Run the service until it returns.

        Raises:
            Exception: the service failed before it had started, or more than
                ``_MAX_RESTARTS`` times within ``_RESTART_WINDOW_MS``.
        """
        status = _FirstStart(task_status)
        while True:
            try:
                await self._service.run(task_status=status)
            except Exception:
                if not status.has_started or self._fails_too_often():
                    raise
                _log.exception(
                    'level=error event=service-failed service="{}"', self._name
                )
            else:
                return
            await self._clock.sleep(_RESTART_DELAY_MS)

    def _fails_too_often(self) -> bool:
        now = self._clock.now()
        self._failed_ms.append(now)
        if len(self._failed_ms) <= _MAX_RESTARTS:
            return False
        return now - self._failed_ms[0] < _RESTART_WINDOW_MS
