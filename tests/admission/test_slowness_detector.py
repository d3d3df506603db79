"""Guards against undetected slow targets and false detections.

An undetected slow target keeps getting calls; a false detection diverts
callers from a target of normal speed.
"""

from __future__ import annotations

import random

from savorystand.admission.slowness_detector import SlownessDetector
from savorystand.clock import ManualClock


def _serve(
    detector: SlownessDetector, clock: ManualClock, call_id: int, ms: int
) -> bool:
    detector.begin(call_id, 20)
    clock.advance(ms)
    slow = detector.is_slow()
    detector.end(call_id, answered=True)
    return slow


def test_slow_target_is_detected_until_it_recovers() -> None:
    """Three slow calls in a row show a slow target; a quick one ends it."""
    clock = ManualClock()
    detector = SlownessDetector(clock=clock)
    assert [_serve(detector, clock, one, 80) for one in range(3)][-1]
    clock.advance(2001)
    assert not detector.is_slow()
    # Soon afterwards one slow call is enough, and the target counts as slow
    # for longer.
    assert _serve(detector, clock, 4, 80)
    clock.advance(3500)
    assert detector.is_slow()
    _serve(detector, clock, 5, 20)
    assert not detector.is_slow()


def test_slow_calls_count_before_they_end() -> None:
    """Hedging callers cancel slow calls, which must not hide a slow target."""
    clock = ManualClock()
    detector = SlownessDetector(clock=clock)
    for call_id in range(3):
        detector.begin(call_id, 20)
    clock.advance(79)
    assert not detector.is_slow()
    clock.advance(1)
    assert detector.is_slow()
    assert detector.is_slow()


def test_exponential_times_seldom_look_slow() -> None:
    """Normal variation of service times must not divert callers."""
    clock = ManualClock()
    detector = SlownessDetector(clock=clock)
    rng = random.Random(5)
    slow = [
        _serve(detector, clock, call_id, int(rng.expovariate(1 / 20)))
        for call_id in range(4000)
    ]
    assert sum(slow) < 40


def test_cancelled_calls_count_as_slow_earlier() -> None:
    """Hedging callers cancel slow calls before four times the usual time."""
    clock = ManualClock()
    detector = SlownessDetector(clock=clock)
    for call_id in range(3):
        detector.begin(call_id, 20)
        clock.advance(40)
        detector.end(call_id, answered=False)
    assert detector.is_slow()
