"""Least-squares lines through measured points."""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import fmean
from statistics import linear_regression
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import final

if TYPE_CHECKING:
    from collections.abc import Sequence

Point: TypeAlias = tuple[float, float]

# The residual of a line through fewer points is meaningless.
MIN_POINTS = 4
_REPORT_DIGITS = 6


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Slope:
    """A least-squares line: ``intercept + slope * size``.

    ``per`` is the unit of the size and ``unit`` that of the cost.
    ``residual`` is the root mean square of the differences between the
    points and the line, in ``unit``.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost that the line gives for ``size``."""
        return self.intercept + self.slope * size

    def extrapolated(self, size: float) -> bool:
        """Return True if ``size`` is outside the range of measured sizes."""
        sizes = [point[0] for point in self.points]
        return not min(sizes) <= size <= max(sizes)

    def report(self) -> dict[str, Any]:
        """Return the line and its points as JSON types."""
        return {
            'name': self.name,
            'unit': self.unit,
            'per': self.per,
            'points': [list(point) for point in self.points],
            'slope': _rounded(self.slope),
            'intercept': _rounded(self.intercept),
            'residual': _rounded(self.residual),
        }


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through the points.

    Raises:
        ValueError: fewer than 4 points, or all of the same size.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(
            f'{name}: {len(points)} points, expected at least {MIN_POINTS}'
        )
    sizes = [point[0] for point in points]
    costs = [point[1] for point in points]
    if min(sizes) == max(sizes):
        raise ValueError(
            f'{name}: all points have the same size, expected two or more sizes'
        )
    slope, intercept = linear_regression(sizes, costs)
    squares = [(cost - intercept - slope * size) ** 2 for size, cost in points]
    return Slope(
        name=name,
        unit=unit,
        per=per,
        points=tuple(points),
        slope=slope,
        intercept=intercept,
        residual=math.sqrt(fmean(squares)),
    )


def significant(number: float, digits: int) -> float:
    """Return a number rounded to ``digits`` significant digits."""
    return float(format(number, f'.{digits}g'))


def _rounded(number: float) -> float:
    return significant(number, _REPORT_DIGITS)
