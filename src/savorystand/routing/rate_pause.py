"""Pauses of one caller after refusals by the rate limit of a target."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

# Each refusal doubles the pause and each response halves it, so that callers
# that do not know of each other share the limit.
_MIN_PAUSE_MS = 20
_MAX_PAUSE_MS = 1000
_DECREASE_FACTOR = 0.5
# The pause is drawn from half to one and a half times its length, so that the
# callers do not return together.
_MIN_DRAWN_FRACTION = 0.5


@final
@dataclass(slots=True, kw_only=True)
class RatePause:
    """Exponential backoff per target. Times are those of the local clock."""

    until_ms: float = -math.inf
    _length_ms: float = 0

    def record_refusal(self, now: float, chance: float) -> None:
        """Start a pause; ``chance`` is a random number from 0 to 1."""
        doubled = max(self._length_ms * 2, _MIN_PAUSE_MS)
        self._length_ms = min(doubled, _MAX_PAUSE_MS)
        self.until_ms = now + self._length_ms * (_MIN_DRAWN_FRACTION + chance)

    def record_response(self) -> None:
        """Shorten the next pause: the target had room for the call."""
        self._length_ms *= _DECREASE_FACTOR

    def reset(self) -> None:
        """End the pause: the target has no rate limit any more."""
        self.until_ms = -math.inf
        self._length_ms = 0

    def is_active(self, now: float) -> bool:
        """Return True if the target would probably refuse a call."""
        return self.until_ms > now
