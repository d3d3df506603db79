"""Buckets of the latency histogram."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Two buckets for each doubling, from 1/16 ms to 131 s, which is above the
# longest deadline. A quantile is overestimated by at most 50 %.
BUCKET_COUNT = 44
_UNITS_PER_MS = 16
_OCTAVE_STEP = 0.5


def bucket_of(elapsed_ms: float) -> int:
    """Return the index of the bucket that holds a latency."""
    units = int(elapsed_ms * _UNITS_PER_MS)
    if units < 2:
        return max(0, units)
    bits = units.bit_length()
    return min(2 * bits - 2 + (units >> (bits - 2) & 1), BUCKET_COUNT - 1)


def upper_bound_ms(bucket: int) -> float:
    """Return the upper bound of a bucket in milliseconds."""
    if bucket < 2:
        return (bucket + 1) / _UNITS_PER_MS
    octave = 1 << (bucket // 2)
    return octave * (1 + _OCTAVE_STEP * (bucket % 2 + 1)) / _UNITS_PER_MS


def quantile_ms(counts: Sequence[int], fraction: float) -> float:
    """Return the upper bound of a quantile's bucket in ms, 0 if empty."""
    threshold = fraction * sum(counts)
    cumulative = 0
    for bucket, count in enumerate(counts):
        cumulative += count
        if count and cumulative >= threshold:
            return upper_bound_ms(bucket)
    return 0
