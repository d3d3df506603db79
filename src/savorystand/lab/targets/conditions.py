"""Injected conditions of one target."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.clock import Clock

_COLD_FACTOR = 3


class Conditions:
    """Slow spells, stalls, cold start and the age of the load report."""

    __slots__ = (
        '_clock',
        '_cold_until_ms',
        '_factor',
        '_reports',
        '_slow_until_ms',
        '_stalled_until_ms',
        'draining',
        'report_lag_ms',
    )

    def __init__(self, *, clock: Clock, cold_ms: float) -> None:
        """Start cold for ``cold_ms``."""
        self._clock = clock
        self._cold_until_ms = clock.now() + cold_ms
        self._factor: float = 1
        self._slow_until_ms: float = 0
        self._stalled_until_ms: float = 0
        self._reports: deque[tuple[float, int]] = deque(maxlen=1000)
        self.draining = False
        self.report_lag_ms: float = 0

    def slow(self, factor: float, for_ms: float) -> None:
        """Take ``factor`` times as long for a time."""
        self._factor = factor
        self._slow_until_ms = self._clock.now() + for_ms

    def stall(self, for_ms: float) -> None:
        """Finish nothing for a time."""
        self._stalled_until_ms = self._clock.now() + for_ms

    def work_ms(self, own_ms: float) -> float:
        """Return how long work of ``own_ms`` takes if it starts now."""
        now = self._clock.now()
        stalled_ms = max(0, self._stalled_until_ms - now)
        factor: float = 1
        if now < self._slow_until_ms:
            factor = self._factor
        if now < self._cold_until_ms:
            factor = max(factor, _COLD_FACTOR)
        return stalled_ms + own_ms * factor

    def report(self, in_use: int) -> int:
        """Record the load and return the one that the report shows."""
        now = self._clock.now()
        self._reports.append((now, in_use))
        shown = 0
        for taken_ms, load in self._reports:
            if taken_ms <= now - self.report_lag_ms:
                shown = load
        return shown
