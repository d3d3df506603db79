"""Guards against overload that is not reported to callers.

Callers then go on admitting calls that the target refuses or delays.
"""

from __future__ import annotations

from savorystand.admission.overloaded_rank import OverloadedRank
from savorystand.call import Importance
from savorystand.clock import ManualClock


def test_highest_overloaded_class_counts() -> None:
    """Callers must stop every class up to the most important overloaded one."""
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
