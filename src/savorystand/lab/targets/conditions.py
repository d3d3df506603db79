"""Faults injected into one target."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.clock import Clock

_COLD_FACTOR = 3


class Conditions:
    """Slowdowns, stalls, a cold start, draining, and outdated load reports.

    ``report_lag_ms`` is the age of the load that the target reports.
    """

    __slots__ = (
        '_clock',
        '_cold_until_ms',
        '_slow_factor',
        '_load_history',
        '_slow_until_ms',
        '_stalled_until_ms',
        'draining',
        'report_lag_ms',
    )

    def __init__(self, *, clock: Clock, cold_ms: float) -> None:
        """Start with a cold phase of ``cold_ms``."""
        self._clock = clock
        self._cold_until_ms = clock.now() + cold_ms
        self._slow_factor: float = 1
        self._slow_until_ms: float = 0
        self._stalled_until_ms: float = 0
        self._load_history: deque[tuple[float, int]] = deque(maxlen=1000)
        self.draining = False
        self.report_lag_ms: float = 0

    def slow(self, factor: float, for_ms: float) -> None:
        """Multiply service times by ``factor`` for ``for_ms``."""
        self._slow_factor = factor
        self._slow_until_ms = self._clock.now() + for_ms

    def stall(self, for_ms: float) -> None:
        """Delay work that starts in the next ``for_ms`` until their end."""
        self._stalled_until_ms = self._clock.now() + for_ms

    def work_ms(self, nominal_ms: float) -> float:
        """Return the duration of work of ``nominal_ms`` started now."""
        now = self._clock.now()
        stalled_ms = max(0, self._stalled_until_ms - now)
        factor: float = 1
        if now < self._slow_until_ms:
            factor = self._slow_factor
        if now < self._cold_until_ms:
            factor = max(factor, _COLD_FACTOR)
        return stalled_ms + nominal_ms * factor

    def report(self, in_use: int) -> int:
        """Record the current load; return that of ``report_lag_ms`` ago."""
        now = self._clock.now()
        self._load_history.append((now, in_use))
        reported = 0
        for recorded_ms, load in self._load_history:
            if recorded_ms <= now - self.report_lag_ms:
                reported = load
        return reported
