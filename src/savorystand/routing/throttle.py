"""Limits the share of a route's requests that is admitted."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

# Responses are evaluated at most once per interval, which is about the time
# from a decision to the load reports that reflect it.
_INTERVAL_MS = 200
_SHARE_DECREASE_FACTOR = 0.85
# Added to the share for each interval since the last evaluation.
_SHARE_INCREASE = 0.05
_MIN_SHARE = 0.02
# The share is decreased if more than this fraction of the responses since the
# last evaluation reports overload.
_OVERLOADED_FRACTION = 0.3
# After this many intervals without an evaluation, a decrease starts from the
# share that has recovered since then; before, from the share as it was left by
# the last evaluation.
_MIN_QUIET_INTERVALS = 3
# With fewer responses, overload is not evaluated yet: a single overloaded
# response may be chance.
_MIN_RESPONSES_FOR_DECREASE = 4


@final
@dataclass(slots=True, kw_only=True)
class Throttle:
    """Additive increase and multiplicative decrease of the admitted share."""

    _share: float = 1
    _last_evaluation_ms: float = -math.inf
    _responses: int = 0
    _overloaded: int = 0

    def share(self, now: float) -> float:
        """Return the fraction of requests to admit at ``now``.

        It rises with each interval since the last evaluation, without any
        responses: at the minimum share, too few requests are admitted for
        their responses to raise it. ``now`` is the time of the local clock in
        milliseconds.
        """
        if self._share < 1:
            intervals = int((now - self._last_evaluation_ms) // _INTERVAL_MS)
            return min(1, self._share + intervals * _SHARE_INCREASE)
        return self._share

    def record(self, *, overloaded: bool, now: float) -> None:
        """Record a response and adjust the share if an evaluation is due.

        ``overloaded`` tells whether the response reports that calls of the
        importance of its request are refused or delayed, at the target or
        downstream. ``now`` is the time of the local clock in milliseconds.
        """
        self._responses += 1
        self._overloaded += overloaded
        if now - self._last_evaluation_ms < _INTERVAL_MS:
            return
        if self._overloaded and self._responses < _MIN_RESPONSES_FOR_DECREASE:
            return
        if self._overloaded > _OVERLOADED_FRACTION * self._responses:
            # A decrease soon after the last evaluation discards the rise that
            # ``share`` returned in between, so that the rise does not offset
            # the decreases while the overload lasts.
            quiet = (
                now - self._last_evaluation_ms
                >= _MIN_QUIET_INTERVALS * _INTERVAL_MS
            )
            share = self.share(now) if quiet else self._share
            self._share = max(_MIN_SHARE, share * _SHARE_DECREASE_FACTOR)
        else:
            self._share = self.share(now)
        self._last_evaluation_ms = now
        self._responses = 0
        self._overloaded = 0
