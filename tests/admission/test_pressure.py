"""Failures: callers are not told that their calls suffer."""

from __future__ import annotations

from savorystand.admission.pressure import PressedRank
from savorystand.call import Importance
from savorystand.clock import ManualClock


def test_highest_suffering_class_counts() -> None:
    """Less important work has to stop where more important work waits."""
    clock = ManualClock()
    pressed = PressedRank(clock=clock)
    for _ in range(10):
        pressed.record(Importance.NORMAL, 50, refused=False)
        pressed.record(Importance.CRITICAL, 5, refused=False)
    clock.advance(200)
    assert pressed.current() == Importance.NORMAL + 1
    for _ in range(10):
        pressed.record(Importance.CRITICAL, 0, refused=True)
    clock.advance(200)
    assert pressed.current() == Importance.CRITICAL + 1
    clock.advance(200)
    assert pressed.current() == 0
