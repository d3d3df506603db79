"""Latency of each route as the calling node measures it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import final

from savorystand.routing.throttle import Throttle

_SAMPLE_WEIGHT = 0.05
# Step of the percentile in the logarithm of latency: a factor of 1.1 upwards.
_LOG_STEP = 0.1
_PERCENTILE = 0.95
# Fewer samples do not determine the 95th percentile.
_MIN_SAMPLES = 40
_MIN_LATENCY_MS = 0.01


@final
@dataclass(slots=True, kw_only=True)
class RouteTimes:
    """Mean and 95th percentile of one route's latency, in milliseconds.

    The percentile moves by a fixed factor at each sample (stochastic
    approximation, Robbins and Monro, 1951) and needs no window of samples.
    """

    mean_ms: float = 0
    samples: int = 0
    throttle: Throttle = field(default_factory=Throttle)
    _log_p95: float = 0

    def record(self, elapsed_ms: float) -> None:
        """Record the latency of an attempt that got a response."""
        elapsed_ms = max(elapsed_ms, _MIN_LATENCY_MS)
        if self.samples == 0:
            self.mean_ms = elapsed_ms
            self._log_p95 = math.log(elapsed_ms)
        self.samples += 1
        weight = max(_SAMPLE_WEIGHT, 1 / self.samples)
        self.mean_ms += weight * (elapsed_ms - self.mean_ms)
        above = math.log(elapsed_ms) > self._log_p95
        self._log_p95 += _LOG_STEP * (_PERCENTILE - (not above))

    def record_unfinished(self, elapsed_ms: float) -> None:
        """Record an attempt that ended unanswered after ``elapsed_ms``.

        Otherwise hedging would hide the slow attempts it cancels, and the
        percentile, and with it the hedge delay, would fall.
        """
        if (
            self.samples
            and math.log(max(elapsed_ms, _MIN_LATENCY_MS)) > self._log_p95
        ):
            self._log_p95 += _LOG_STEP * _PERCENTILE

    def ratio(self, elapsed_ms: float) -> float:
        """Return latency divided by the mean, or 0 if the mean is unknown."""
        return elapsed_ms / self.mean_ms if self.mean_ms else 0

    def p95_ms(self) -> float | None:
        """Return the 95th percentile, or None before it is known."""
        if self.samples < _MIN_SAMPLES:
            return None
        return math.exp(self._log_p95)
