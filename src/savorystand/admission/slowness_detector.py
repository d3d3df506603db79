"""Detects that the local target is much slower than usual."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock

# A call counts as slow from this multiple of the long-run minimum on. With
# exponential service times one call in 55 is slow, and three in a row almost
# never.
_SLOW_FACTOR = 4
# Callers that hedge cancel slow calls earlier, so that a cancelled call counts
# as slow from this multiple on.
_CANCELLED_FACTOR = 2
_MIN_SLOW_CALLS = 3
# A slow target gets almost no calls that could show its recovery. It is assumed
# to have recovered after this time, and callers return in steps. The time
# doubles if it is found slow again.
_HOLD_MS = 2000
_MAX_HOLD_MS = 8000
# For this long after a slow period, while callers return in steps, one slow
# call is enough. These steps have so few calls that random outliers seldom
# prolong the period.
_RELAPSE_WINDOW_MS = 2000
_MIN_RELAPSE_CALLS = 1


@final
@dataclass(slots=True, kw_only=True)
class _Running:
    started_ms: float
    minimum_ms: float


@final
class SlownessDetector:
    """Compares call durations with the long-run minimum of their class.

    Running calls count as soon as they are slow, since callers that hedge
    cancel them before they end.
    """

    __slots__ = (
        '_clock',
        '_hold_ms',
        '_running',
        '_slow_calls',
        '_slow_until_ms',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start with a target that is not slow."""
        self._clock = clock
        self._running: dict[int, _Running] = {}
        self._slow_calls = 0
        self._hold_ms = float(0)
        self._slow_until_ms = float('-inf')

    def begin(self, call_id: int, minimum_ms: float) -> None:
        """Track a started call, unless ``minimum_ms`` is 0 (unknown)."""
        if minimum_ms <= 0:
            return
        self._running[call_id] = _Running(
            started_ms=self._clock.now(),
            minimum_ms=minimum_ms,
        )

    def end(self, call_id: int, *, answered: bool) -> None:
        """Stop tracking a call; ``answered`` is False without a response."""
        running = self._running.pop(call_id, None)
        if running is None:
            return
        now = self._clock.now()
        factor = _SLOW_FACTOR if answered else _CANCELLED_FACTOR
        if now - running.started_ms >= running.minimum_ms * factor:
            self._record_slow_call(now)
        elif answered:
            self._slow_calls = 0
            self._slow_until_ms = min(self._slow_until_ms, now)

    def is_slow(self) -> bool:
        """Return True while the target is considered slow.

        Running calls that have become slow are counted first.
        """
        now = self._clock.now()
        slow_ids = [
            call_id
            for call_id, running in self._running.items()
            if now - running.started_ms >= running.minimum_ms * _SLOW_FACTOR
        ]
        for call_id in slow_ids:
            # Each call counts once, however long it takes.
            del self._running[call_id]
            self._record_slow_call(now)
        return now < self._slow_until_ms

    def _record_slow_call(self, now: float) -> None:
        if now < self._slow_until_ms:
            return
        self._slow_calls += 1
        relapse = now - self._slow_until_ms < _RELAPSE_WINDOW_MS
        min_slow_calls = _MIN_RELAPSE_CALLS if relapse else _MIN_SLOW_CALLS
        if self._slow_calls < min_slow_calls:
            return
        hold_ms = self._hold_ms * 2 if relapse else _HOLD_MS
        self._hold_ms = min(max(hold_ms, _HOLD_MS), _MAX_HOLD_MS)
        self._slow_until_ms = now + self._hold_ms
        self._slow_calls = 0
