"""Guard the least-squares fit of measured costs.

A wrong line gives wrong costs at the target size, and an extrapolated cost
that is not marked as such looks like a measured one.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.lab.slopes.fit import fit

_NUMBERS = st.integers(min_value=-1000, max_value=1000)


@given(_NUMBERS, _NUMBERS, st.lists(_NUMBERS, min_size=4, unique=True))
def test_fit_recovers_exact_line(
    slope: int, intercept: int, sizes: list[int]
) -> None:
    """The fit through points of an exact line must return that line."""
    costs = [intercept + slope * size for size in sizes]
    points = [(size, cost) for size, cost in zip(sizes, costs)]
    line = fit('name', 'bytes', 'member', points)
    assert line.slope == pytest.approx(slope, abs=1e-6)
    assert line.intercept == pytest.approx(intercept, abs=1e-4)
    assert line.residual == pytest.approx(0, abs=1e-4)
    at_target = intercept + slope * 7700
    assert line.at(7700) == pytest.approx(at_target, abs=0.1)
    assert line.extrapolated(max(sizes) + 1)
    assert not line.extrapolated(max(sizes))


def test_residual_is_root_mean_square() -> None:
    """The residual must show the distance of the points from the line."""
    line = fit('name', 'us', 'call', list(enumerate((1, -1, -1, 1))))
    assert (line.slope, line.intercept) == (0, 0)
    assert line.residual == 1


@pytest.mark.parametrize('sizes', [(1, 2, 3), (2, 2, 2, 2)])
def test_insufficient_points_are_rejected(sizes: tuple[int, ...]) -> None:
    """Too few points or sizes must raise an error instead of giving a line."""
    with pytest.raises(ValueError, match='name'):
        fit('name', 'us', 'call', [(size, 0) for size in sizes])
