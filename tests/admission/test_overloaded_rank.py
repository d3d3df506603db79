"""Failures: callers are not told that calls are refused or delayed."""

from __future__ import annotations

from savorystand.admission.overloaded_rank import OverloadedRank
from savorystand.call import Importance
from savorystand.clock import ManualClock


def test_highest_overloaded_class_counts() -> None:
    """Less important work has to stop where more important work waits."""
    clock = ManualClock()
    overloaded = OverloadedRank(clock=clock)
    for _ in range(10):
        overloaded.record(Importance.NORMAL, 50, refused=False)
        overloaded.record(Importance.CRITICAL, 5, refused=False)
    clock.advance(200)
    assert overloaded.current() == Importance.NORMAL + 1
    for _ in range(10):
        overloaded.record(Importance.CRITICAL, 0, refused=True)
    clock.advance(200)
    assert overloaded.current() == Importance.CRITICAL + 1
    clock.advance(200)
    assert overloaded.current() == 0
