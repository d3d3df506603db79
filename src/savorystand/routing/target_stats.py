"""Statistics that a calling node keeps of one target."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.call import TargetLoad
from savorystand.clock import MS_PER_SECOND
from savorystand.routing.rate_pause import RatePause

if TYPE_CHECKING:
    from savorystand.call import Importance

# The weight of a report falls linearly to zero within this time.
REPORT_TIMEOUT_MS = 500
# Weight of a new report, at most half: it is delayed, and other callers react
# to it too.
_MAX_REPORT_WEIGHT = 0.5
# Peak-sensitive (Finagle's peak EWMA): a slower sample always has this high
# weight; that of a faster one grows with the time since the last sample.
_PEAK_WEIGHT = 0.5
_DECAY_MS = MS_PER_SECOND
# Slowness and failures fade without new samples, so that a target which gets
# neither calls nor probes is used again.
_FADE_MS = 5000
_FAILURE_WEIGHT = 0.2
_FAILURE_COST_FACTOR = 10
_MIN_SLOWNESS = 0.1
_MAX_SLOWNESS = 100
_SLOW_RATIO = 2
_FAILING_FRACTION = 0.2
# Part of the limit above which calls are likely to queue. A small limit is
# used fully, as each slot kept free would send calls to other regions.
_BUSY_FRACTION = 0.8
_SMALL_LIMIT = 20
_AVOID_TIMEOUT_MS = MS_PER_SECOND
# Tolerates the loss of some pushes, which a slow target repeats.
_SLOW_REPORT_TIMEOUT_MS = 1500
_SLOW_COST_FACTOR = 10
# Probability of accepting a new target that was drawn, by ramp-up step.
_RAMP_UP_SHARES = (0.1, 0.25, 0.5, 0.75)
_RAMP_UP_STEP_MS = MS_PER_SECOND
_RAMP_UP_MS = len(_RAMP_UP_SHARES) * _RAMP_UP_STEP_MS


@final
@dataclass(slots=True, kw_only=True)
class TargetStats:
    """In-flight calls, slowness, failures and last report of a target.

    ``slowness`` is latency over the mean of the same route at all targets, so
    that the mix of routes a target serves does not affect it. ``failures`` is
    the recent fraction of attempts that were refused or lost.
    """

    ramp_up_started_ms: float = -math.inf
    in_flight: int = 0
    slowness: float = 1
    sampled_ms: float = 0
    failures: float = 0
    avoid_until_ms: float = -math.inf
    probed_ms: float = -math.inf
    load: TargetLoad = field(default_factory=TargetLoad)
    reported_ms: float = -math.inf
    rate_pause: RatePause = field(default_factory=RatePause)

    def record_latency(self, ratio: float, now: float) -> None:
        """Record an attempt that took ``ratio`` times its route's mean."""
        ratio = min(max(ratio, _MIN_SLOWNESS), _MAX_SLOWNESS)
        weight = _PEAK_WEIGHT
        if ratio < self.slowness:
            weight = 1 - math.exp((self.sampled_ms - now) / _DECAY_MS)
            weight = max(weight, _FAILURE_WEIGHT / 2)
        self.slowness += weight * (ratio - self.slowness)
        self.sampled_ms = now

    def record_unfinished(self, ratio: float, now: float) -> None:
        """Record an attempt without response, which would have taken longer.

        It ended after ``ratio`` times the mean of its route. A quick failure
        says nothing about latency and is ignored.
        """
        if ratio > self.slowness:
            self.record_latency(ratio, now)

    def record_result(self, *, failed: bool, now: float) -> None:
        """Record whether an attempt was refused or lost."""
        self.failures += _FAILURE_WEIGHT * (failed - self.failures)
        if failed:
            self.sampled_ms = now

    def avoid(self, now: float) -> None:
        """Avoid the target for a second: it is unreachable or leaving."""
        self.avoid_until_ms = now + _AVOID_TIMEOUT_MS

    def is_established(self, now: float) -> bool:
        """Return True if the ramp-up of the target is complete."""
        return now - self.ramp_up_started_ms >= _RAMP_UP_MS

    def ramp_up_share(self, now: float) -> float:
        """Return the fraction of a full share that the target gets."""
        if self.is_established(now):
            return 1
        step = (now - self.ramp_up_started_ms) / _RAMP_UP_STEP_MS
        return _RAMP_UP_SHARES[int(step)]

    def is_skipped(self, now: float, chance: float) -> bool:
        """Return True if a draw skips the target because it is still new.

        ``chance`` is a random number from 0 to 1.
        """
        share = self.ramp_up_share(now)
        return share < 1 and chance >= share

    def sheds(self, importance: Importance, now: float) -> bool:
        """Return True if a current report excludes the importance."""
        if self.load.admitted_rank <= importance:
            return False
        return now - self.reported_ms < REPORT_TIMEOUT_MS

    def record_load(self, load: TargetLoad, now: float) -> None:
        """Record a load report; restart the ramp-up when slowness ends."""
        if self.reports_slow(now) and not load.slow:
            self.ramp_up_started_ms = now
            self.slowness = 1
        if load.rate_limit is None and self.load.rate_limit is not None:
            self.rate_pause.reset()
        self.load = load
        self.reported_ms = now

    def reports_slow(self, now: float) -> bool:
        """Return True if a current report says that the target is slow."""
        return (
            self.load.slow and now - self.reported_ms < _SLOW_REPORT_TIMEOUT_MS
        )

    def is_degraded(self, now: float) -> bool:
        """Return True if the target is slow or failing at present."""
        if self.reports_slow(now):
            return True
        fade = math.exp(min(0, self.sampled_ms - now) / _FADE_MS)
        slow = 1 + (self.slowness - 1) * fade > _SLOW_RATIO
        return slow or self.failures * fade > _FAILING_FRACTION

    def needs_probe(self, now: float) -> bool:
        """Return True if only a call can show whether the target recovered.

        A node that reports its target as slow also reports its recovery.
        """
        return self.is_degraded(now) and not self.reports_slow(now)

    def is_busy(self, importance: Importance, now: float) -> bool:
        """Return True if a new call is likely to queue or be refused."""
        if self.rate_pause.is_active(now):
            return True
        used = self.in_flight
        if now - self.reported_ms < REPORT_TIMEOUT_MS:
            if self.load.admitted_rank > importance:
                return True
            used = max(used, self.load.in_flight + self.load.queued)
        limit = self.load.limit
        if 0 < limit < _SMALL_LIMIT:
            return used >= limit
        return limit > 0 and used >= limit * _BUSY_FRACTION

    def relative_cost(self, mean_ms: float, now: float) -> float:
        """Return a cost in milliseconds to compare targets by.

        It is the expected completion time of one more call, raised for slow
        and failing targets; ``mean_ms`` is the mean latency of its route. It
        only serves to compare targets: in-flight calls count as if served
        one after another.
        """
        fade = math.exp(min(0, self.sampled_ms - now) / _FADE_MS)
        latency_ms = mean_ms * (1 + (self.slowness - 1) * fade)
        age_ms = now - self.reported_ms
        if age_ms < REPORT_TIMEOUT_MS:
            weight = _MAX_REPORT_WEIGHT * (1 - age_ms / REPORT_TIMEOUT_MS)
            queued_ms = max(0, self.load.expected_ms - mean_ms)
            latency_ms += weight * queued_ms
        cost = latency_ms * (self.in_flight + 1)
        if self.reports_slow(now):
            cost *= _SLOW_COST_FACTOR
        return cost * (1 + _FAILURE_COST_FACTOR * self.failures * fade)
