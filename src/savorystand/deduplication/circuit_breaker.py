"""Circuit breaker in front of the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.clock import Clock

# Single responses get lost in normal operation; three in a row mean an outage.
_FAILURES_TO_OPEN = 3
_PROBE_INTERVAL_MS = 1000


class CircuitBreaker:
    """Opens after consecutive failures, then admits one probe a second."""

    __slots__ = ('_clock', '_failures', '_next_probe_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start closed; ``clock`` times the probes."""
        self._clock = clock
        self._failures = 0
        self._next_probe_ms: float = 0

    def admit(self) -> bool:
        """Return True if an operation may start."""
        if self._failures < _FAILURES_TO_OPEN:
            return True
        now = self._clock.now()
        if now < self._next_probe_ms:
            return False
        self._next_probe_ms = now + _PROBE_INTERVAL_MS
        return True

    def record_success(self) -> None:
        """Close the breaker after a write that the service responded to."""
        self._failures = 0

    def record_failure(self) -> None:
        """Record a write that got no response."""
        self._failures += 1
        if self._failures == _FAILURES_TO_OPEN:
            self._next_probe_ms = self._clock.now() + _PROBE_INTERVAL_MS
