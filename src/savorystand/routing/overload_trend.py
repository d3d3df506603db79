"""Recent overload of the calls of one route."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

# Weight of one report: each target of a pool reports only its own overload.
_REPORT_WEIGHT = 0.1
# Reports expire after this time.
_REPORT_TIMEOUT_MS = 500


@final
@dataclass(slots=True, kw_only=True)
class OverloadTrend:
    """Moving average of the reported ranks, which expires without reports."""

    mean: float = 0
    reported_ms: float = -math.inf

    def record(self, pressed_rank: int, now: float) -> None:
        """Record the rank that a response reports."""
        self.mean += _REPORT_WEIGHT * (pressed_rank - self.mean)
        self.reported_ms = now

    def rank(self, now: float) -> int:
        """Return the rank below which calls are overloaded, 0 for none."""
        if now - self.reported_ms > _REPORT_TIMEOUT_MS:
            return 0
        return round(self.mean)
