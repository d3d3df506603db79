"""Service times of the local target, by route and body size."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock

if TYPE_CHECKING:
    from savorystand.call import Call

TimeClass: TypeAlias = tuple[str, int]

# The size classes of bodies end at 4 KiB, 64 KiB, 1 MiB and so on, each at 16
# times the size of the one before.
_SMALL_BODY_SHIFT = 12
_BITS_PER_CLASS = 4
# Weight of one sample: the mean follows a change in about ten calls.
_SAMPLE_WEIGHT = 0.1
# The long-run minimum is taken over means of this many samples: the minimum of
# single samples, or of a fast average, is far below the usual time of an
# unloaded target. It doubles within a minute, so that it follows a target that
# stays slower.
_BLOCK_SAMPLES = 50
_MINIMUM_DOUBLING_MS = 60000
# Calls are long if the mean of their class exceeds this multiple of the median
# over all calls.
_LONG_FACTOR = 5
_MEDIAN_REFRESH_MS = 250
# Counts halve in about 20 s. With a faster decay, long calls become the median
# and can take all slots as soon as short calls go to other targets.
_COUNT_DECAY = 0.9914


@final
@dataclass(slots=True, kw_only=True)
class _ClassTimes:
    """Service times of one class, whose last sample is from ``sampled_ms``.

    ``minimum_ms`` is the long-run minimum, infinite until a first block of
    samples is complete. ``decayed_count`` counts calls, recent ones most.
    """

    mean_ms: float
    sampled_ms: float
    minimum_ms: float
    block_sum_ms: float = 0
    block_samples: int = 0
    decayed_count: float = 0

    def add(self, elapsed_ms: float, now: float) -> None:
        self.mean_ms += _SAMPLE_WEIGHT * (elapsed_ms - self.mean_ms)
        self.decayed_count += 1
        self.block_sum_ms += elapsed_ms
        self.block_samples += 1
        idle_ms = now - self.sampled_ms
        self.minimum_ms *= 1 + idle_ms / _MINIMUM_DOUBLING_MS
        self.sampled_ms = now
        if self.block_samples == _BLOCK_SAMPLES:
            self.minimum_ms = min(
                self.minimum_ms, self.block_sum_ms / _BLOCK_SAMPLES
            )
            self.block_samples = 0
            self.block_sum_ms = float(0)


@final
@dataclass(slots=True, kw_only=True)
class Estimate:
    """Time class and expected service time of a call.

    ``is_long`` is True if the mean of the class is more than ``_LONG_FACTOR``
    times the median over all calls, or if only other classes have samples.
    ``minimum_ms`` is the long-run minimum of the class, 0 if unknown.
    """

    time_class: TimeClass
    service_ms: float
    is_long: bool
    minimum_ms: float = 0


def default_estimate() -> Estimate:
    """Return an estimate of 0 ms for a short call of no particular class."""
    return Estimate(time_class=('', 0), service_ms=0, is_long=False)


class ServiceTimes:
    """Short-term and long-run service times of each class of calls."""

    __slots__ = (
        '_clock',
        '_means',
        '_median_ms',
        '_median_refreshed_ms',
        '_times',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start without measurements."""
        self._clock = clock
        self._times: dict[TimeClass, _ClassTimes] = {}
        self._median_ms = float(0)
        self._median_refreshed_ms = clock.now()
        self._means: dict[bool, float] = {}

    def estimate(self, call: Call) -> Estimate:
        """Return the time class and expected service time of a call.

        A class without measurements counts as long once another class has
        some: otherwise the first burst of a slow route could fill all slots
        before any of its calls has ended.
        """
        time_class = (call.route.name, _size_class(len(call.body)))
        times = self._times.get(time_class)
        if times is None:
            return Estimate(
                time_class=time_class,
                service_ms=0,
                is_long=bool(self._times),
            )
        return Estimate(
            time_class=time_class,
            service_ms=self._expected_ms(times),
            is_long=self._is_long(times),
            minimum_ms=times.minimum_ms if times.minimum_ms < math.inf else 0,
        )

    def mean_ms(self, *, is_long: bool) -> float:
        """Return the mean service time of short or long calls, 0 if unknown."""
        return self._means.get(is_long, float(0))

    def record(self, time_class: TimeClass, elapsed_ms: float) -> float:
        """Record an answered call; return its ratio to the long-run minimum.

        The ratio is about 1 without load, comparable between classes, and
        1 until the minimum is known.
        """
        now = self._clock.now()
        times = self._times.get(time_class)
        if times is None:
            times = _ClassTimes(
                mean_ms=elapsed_ms,
                sampled_ms=now,
                minimum_ms=math.inf,
            )
            self._times[time_class] = times
        times.add(elapsed_ms, now)
        if now - self._median_refreshed_ms >= _MEDIAN_REFRESH_MS:
            self._refresh_median(now)
        self._record_mean(elapsed_ms, is_long=self._is_long(times))
        if not 0 < times.minimum_ms < math.inf:
            return 1
        return elapsed_ms / times.minimum_ms

    def record_unfinished(
        self, time_class: TimeClass, elapsed_ms: float
    ) -> None:
        """Record a call that ended without response after ``elapsed_ms``.

        It would have taken at least that long. A quick failure says nothing
        about service time and is ignored.
        """
        times = self._times.get(time_class)
        if times is None or elapsed_ms > times.mean_ms:
            self.record(time_class, elapsed_ms)

    def _expected_ms(self, times: _ClassTimes) -> float:
        # After a second without samples an estimate halves every second, so
        # that a class refused as too slow is tried again once the target may
        # have recovered.
        idle_ms = self._clock.now() - times.sampled_ms - MS_PER_SECOND
        if idle_ms <= 0:
            return times.mean_ms
        return times.mean_ms / 2 ** (idle_ms / MS_PER_SECOND)

    def _is_long(self, times: _ClassTimes) -> bool:
        return 0 < self._median_ms * _LONG_FACTOR < times.mean_ms

    def _record_mean(self, elapsed_ms: float, *, is_long: bool) -> None:
        mean_ms = self._means.setdefault(is_long, elapsed_ms)
        gain = _SAMPLE_WEIGHT * (elapsed_ms - mean_ms)
        self._means[is_long] = mean_ms + gain

    def _refresh_median(self, now: float) -> None:
        self._median_refreshed_ms = now
        ordered = sorted(self._times.values(), key=lambda times: times.mean_ms)
        half = sum(times.decayed_count for times in ordered) / 2
        seen = float(0)
        for times in ordered:
            seen += times.decayed_count
            if seen >= half:
                self._median_ms = times.mean_ms
                break
        for class_times in ordered:
            class_times.decayed_count *= _COUNT_DECAY


def _size_class(body_bytes: int) -> int:
    bits = (body_bytes >> _SMALL_BODY_SHIFT).bit_length()
    return -(-bits // _BITS_PER_CLASS)
