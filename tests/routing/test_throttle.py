"""Guards against admitting requests whose downstream calls are refused."""

from __future__ import annotations

from savorystand.clock import ManualClock
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.routing.throttle import Throttle


def _run(throttle: Throttle, *, overloaded: bool, start_ms: int) -> None:
    for turn in range(200):
        throttle.record(overloaded=overloaded, now=start_ms + turn * 20)


def test_share_falls_quickly_and_recovers() -> None:
    """Downstream overload must throttle requests, but not long after it ends."""
    throttle = Throttle()
    _run(throttle, overloaded=True, start_ms=0)
    assert throttle.share(4000) * 10 < 1
    _run(throttle, overloaded=False, start_ms=4000)
    assert throttle.share(8000) * 10 > 9


def test_share_recovers_without_responses() -> None:
    """Few requests are admitted, and possibly none gets a response."""
    throttle = Throttle()
    _run(throttle, overloaded=True, start_ms=0)
    assert throttle.share(8000) == 1


def test_single_overloaded_response_is_ignored() -> None:
    """One overloaded response must not throttle a route."""
    throttle = Throttle()
    throttle.record(overloaded=True, now=0)
    throttle.record(overloaded=True, now=1000)
    assert throttle.share(1000) == 1


def test_overload_is_reported_upstream_by_route() -> None:
    """Only the routes that depend on an overloaded pool may be throttled."""
    clock = ManualClock()
    downstream = DownstreamOverload(clock=clock)
    for _ in range(50):
        downstream.record('lookup', 'price', 2)
    assert downstream.pressed_rank('lookup') == 2
    assert downstream.pressed_rank('upload') == 0
    clock.advance(1000)
    assert downstream.pressed_rank('lookup') == 0
