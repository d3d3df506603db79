"""Adaptive share of a route's requests that is admitted."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

# The share changes at most once per step, which is about the time from a
# decision to the load reports that reflect it.
_STEP_INTERVAL_MS = 200
_DECREASE_FACTOR = 0.85
_INCREASE = 0.05
_MIN_SHARE = 0.02
# The share is cut if more than this fraction of responses is overloaded.
_OVERLOADED_FRACTION = 0.3
# Steps without a change after which a cut starts from the recovered share.
_QUIET_STEPS = 3
# A single overloaded response may be chance.
_MIN_RESPONSES = 4


@final
@dataclass(slots=True, kw_only=True)
class Throttle:
    """Additive increase and multiplicative decrease of the admitted share."""

    _share: float = 1
    _stepped_ms: float = -math.inf
    _responses: int = 0
    _overloaded: int = 0

    def share(self, now: float) -> float:
        """Return the fraction of requests to admit at ``now``.

        It recovers with time alone: at the minimum share, too few requests
        are admitted for their responses to raise it.
        """
        if self._share < 1:
            steps = int((now - self._stepped_ms) // _STEP_INTERVAL_MS)
            return min(1, self._share + steps * _INCREASE)
        return self._share

    def record(self, *, overloaded: bool, now: float) -> None:
        """Record whether a response reports that such calls are shed."""
        self._responses += 1
        self._overloaded += overloaded
        if now - self._stepped_ms < _STEP_INTERVAL_MS:
            return
        if self._overloaded and self._responses < _MIN_RESPONSES:
            return
        if self._overloaded > _OVERLOADED_FRACTION * self._responses:
            # Between two steps under overload the share does not rise.
            quiet = now - self._stepped_ms >= _QUIET_STEPS * _STEP_INTERVAL_MS
            share = self.share(now) if quiet else self._share
            self._share = max(_MIN_SHARE, share * _DECREASE_FACTOR)
        else:
            self._share = self.share(now)
        self._stepped_ms = now
        self._responses = 0
        self._overloaded = 0
