"""Rate curves, and random arrival times that follow them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.clock import MS_PER_SECOND

if TYPE_CHECKING:
    import random


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Steady:
    """The constant nominal rate."""

    kind: str = 'steady'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Surge:
    """``factor`` times the nominal rate from ``start_ms`` to ``stop_ms``."""

    start_ms: float
    stop_ms: float
    factor: float
    kind: str = 'surge'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Square:
    """Alternates between two factors, ``half_ms`` each, starting low."""

    low: float
    high: float
    half_ms: float
    kind: str = 'square'


Curve: TypeAlias = Steady | Surge | Square


def factor_at(curve: Curve, at_ms: float) -> float:
    """Return the rate at a time as a factor of the nominal rate."""
    match curve:
        case Steady():
            return 1
        case Surge(start_ms=start, stop_ms=stop, factor=factor):
            return factor if start <= at_ms < stop else 1
        case Square(low=low, high=high, half_ms=half):
            return high if int(at_ms // half) % 2 else low


def peak_factor(curve: Curve) -> float:
    """Return the highest rate of a curve as a factor of the nominal rate."""
    match curve:
        case Steady():
            return 1
        case Surge(factor=factor):
            return max(1, factor)
        case Square(low=low, high=high):
            return max(low, high)


def arrivals(
    curve: Curve, rate: float, duration_ms: float, rng: random.Random
) -> list[float]:
    """Return arrival times in ms of a Poisson process with varying rate.

    ``rate`` is the nominal rate per second. Arrivals at the peak rate are
    thinned to the curve (Lewis and Shedler, 1979).
    """
    peak = peak_factor(curve)
    if rate <= 0 or peak <= 0:
        return []
    mean_gap_ms = MS_PER_SECOND / (rate * peak)
    times = []
    at_ms = rng.expovariate(1) * mean_gap_ms
    while at_ms < duration_ms:
        if rng.random() * peak < factor_at(curve, at_ms):
            times.append(at_ms)
        at_ms += rng.expovariate(1) * mean_gap_ms
    return times


def parse_curve(row: dict[str, float | str]) -> Curve:
    """Return the curve that a JSON object describes.

    Raises:
        ValueError: the kind of curve is unknown.
    """
    kinds: dict[str, type[Curve]] = {
        'steady': Steady,
        'surge': Surge,
        'square': Square,
    }
    kind = kinds.get(str(row['kind']))
    if kind is None:
        raise ValueError(f'unknown kind of curve: {row["kind"]}')
    return kind(**row)  # type: ignore[arg-type]
