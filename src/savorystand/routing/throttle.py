"""Part of a route's requests that is let into the system."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

# The share moves once in a step, which is about the time from a decision to
# the reports that it changes.
_STEP_MS = 200
_CUT = 0.85
_RAISE = 0.05
_MIN_SHARE = 0.02
# Part of a step's answers that have to be overloaded.
_OVERLOADED_FRACTION = 0.3
# Steps after which a share that was cut has risen by time alone.
_QUIET_STEPS = 3
# One overloaded answer alone may be chance.
_MIN_ANSWERS = 4


@final
@dataclass(slots=True, kw_only=True)
class Throttle:
    """Additive increase and multiplicative decrease of the share let in."""

    _share: float = 1
    _stepped_ms: float = -math.inf
    _answers: int = 0
    _overloaded: int = 0

    def share(self, now: float) -> float:
        """Return the part of the requests to let in.

        It rises with time alone: too few are let in at the least share for
        their answers to raise it.
        """
        if self._share < 1:
            steps = int((now - self._stepped_ms) // _STEP_MS)
            return min(1, self._share + steps * _RAISE)
        return self._share

    def record(self, *, overloaded: bool, now: float) -> None:
        """Take an answer: whether calls like it are shed downstream."""
        self._answers += 1
        self._overloaded += overloaded
        if now - self._stepped_ms < _STEP_MS:
            return
        if self._overloaded and self._answers < _MIN_ANSWERS:
            return
        if self._overloaded > _OVERLOADED_FRACTION * self._answers:
            # Between two steps under pressure the share does not rise.
            quiet = now - self._stepped_ms >= _QUIET_STEPS * _STEP_MS
            share = self.share(now) if quiet else self._share
            self._share = max(_MIN_SHARE, share * _CUT)
        else:
            self._share = self.share(now)
        self._stepped_ms = now
        self._answers = 0
        self._overloaded = 0
