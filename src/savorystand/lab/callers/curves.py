"""Rate curves and the seeded arrivals drawn from them."""

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
    """The nominal rate all the time."""

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
    """Swings between two factors, each for ``half_ms``, low first."""

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


def peak(curve: Curve) -> float:
    """Return the largest factor of a curve."""
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
    """Return the times, in ms, of Poisson arrivals by thinning.

    ``rate`` is the nominal rate a second (Lewis and Shedler, 1979).
    """
    largest = peak(curve)
    if rate <= 0 or largest <= 0:
        return []
    mean_gap_ms = MS_PER_SECOND / (rate * largest)
    times = []
    now = rng.expovariate(1) * mean_gap_ms
    while now < duration_ms:
        if rng.random() * largest < factor_at(curve, now):
            times.append(now)
        now += rng.expovariate(1) * mean_gap_ms
    return times


def curve_from(row: dict[str, float | str]) -> Curve:
    """Return the curve of a JSON object.

    Raises:
        ValueError: the kind is unknown.
    """
    kinds: dict[str, type[Curve]] = {
        'steady': Steady,
        'surge': Surge,
        'square': Square,
    }
    kind = kinds.get(str(row['kind']))
    if kind is None:
        raise ValueError(f'unknown curve {row["kind"]}')
    return kind(**row)  # type: ignore[arg-type]
