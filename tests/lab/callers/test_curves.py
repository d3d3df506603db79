"""Guards against load that differs between two runs with the same seed.

That would make experiments and their baselines incomparable: arrivals must
depend on seed and curve alone, not on the number of caller processes.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from savorystand.lab.callers.caller import schedule
from savorystand.lab.callers.curves import Curve
from savorystand.lab.callers.curves import Square
from savorystand.lab.callers.curves import Steady
from savorystand.lab.callers.curves import Surge
from savorystand.lab.callers.curves import arrivals
from savorystand.lab.callers.curves import factor_at
from savorystand.lab.callers.plan import Plan
from savorystand.lab.callers.plan import Stream

_CURVES: tuple[Curve, ...] = (
    Steady(),
    Surge(start_ms=2000, stop_ms=4000, factor=3),
    Square(low=0.3, high=2.5, half_ms=2000),
)


@pytest.mark.parametrize('curve', _CURVES)
def test_arrivals_follow_seed_and_curve(curve: Curve) -> None:
    """The same seed gives the same arrivals, at the rate of the curve."""
    times = arrivals(curve, 500, 8000, random.Random(7))
    assert times == arrivals(curve, 500, 8000, random.Random(7))
    for start in range(0, 8000, 2000):
        arrived = sum(start <= at_ms < start + 2000 for at_ms in times)
        assert arrived == pytest.approx(1000 * factor_at(curve, start), rel=0.2)


def test_shares_add_up_to_the_schedule() -> None:
    """Splitting a plan over processes does not change the requests sent."""
    plan = Plan(
        streams=(
            Stream(name='a', method='GET', path='/a', rate=50),
            Stream(name='b', method='GET', path='/b', rate=20),
        ),
        entries=(),
        seed=3,
        start_ms=0,
        duration_ms=5000,
    )
    all_requests = [
        (planned.name, number) for _, planned, number in schedule(plan)
    ]
    shared_requests = [
        (stream.name, number)
        for share in range(3)
        for _, stream, number in schedule(replace(plan, share=share, shares=3))
    ]
    assert sorted(shared_requests) == sorted(all_requests)
