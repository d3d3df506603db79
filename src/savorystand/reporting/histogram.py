"""Buckets of the latency histogram."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Two buckets for each doubling, from 1/16 ms to 131 s, which is above the
# longest deadline: a quantile is at most half too high.
BUCKET_COUNT = 44
_UNITS_PER_MS = 16
_HALF = 0.5


def bucket_of(elapsed_ms: float) -> int:
    """Return the index of the bucket that holds a latency."""
    units = int(elapsed_ms * _UNITS_PER_MS)
    if units < 2:
        return max(0, units)
    bits = units.bit_length()
    return min(2 * bits - 2 + (units >> (bits - 2) & 1), BUCKET_COUNT - 1)


def upper_bound_ms(bucket: int) -> float:
    """Return the latency in milliseconds that ends a bucket."""
    if bucket < 2:
        return (bucket + 1) / _UNITS_PER_MS
    octave = 1 << (bucket // 2)
    return octave * (1 + _HALF * (bucket % 2 + 1)) / _UNITS_PER_MS


def quantile_ms(counts: Sequence[int], fraction: float) -> float:
    """Return the end of the bucket that holds a quantile, 0 if empty."""
    wanted = fraction * sum(counts)
    seen = 0
    for bucket, count in enumerate(counts):
        seen += count
        if count and seen >= wanted:
            return upper_bound_ms(bucket)
    return 0
