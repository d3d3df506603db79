"""How overloaded the calls of one route are of late."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

# Weight of one report: of several targets of a pool each reports its own.
_WEIGHT = 0.1
# Reports lose their force within this time.
_FADE_MS = 500


@final
@dataclass(slots=True, kw_only=True)
class OverloadTrend:
    """Mean of the reported ranks, faded by the time since the last one."""

    mean: float = 0
    reported_ms: float = -math.inf

    def record(self, pressed_rank: int, now: float) -> None:
        """Take the report of an answer."""
        self.mean += _WEIGHT * (pressed_rank - self.mean)
        self.reported_ms = now

    def rank(self, now: float) -> int:
        """Return the rank below which calls are overloaded, 0 for none."""
        if now - self.reported_ms > _FADE_MS:
            return 0
        return round(self.mean)
