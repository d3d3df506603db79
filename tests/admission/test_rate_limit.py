"""Guards against more calls to a target than it has asked for.

The bound holds over any window, for any arrivals, and is not lifted by
responses that were overtaken or by values that cannot be read.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savorystand.admission.rate_limit import RateLimit
from savorystand.call import Importance
from savorystand.clock import ManualClock
from savorystand.target_notice import RateNamed
from savorystand.target_notice import RateOmitted
from savorystand.target_notice import RateUnreadable
from tests.policy_doubles import make_call

_WINDOW_MS = 4000
_STEP_MS = 20


def _named(clock: ManualClock, per_second: float) -> RateLimit:
    limit = RateLimit(clock=clock)
    limit.apply(RateNamed(per_second=per_second), sent_ms=clock.now())
    return limit


def _start(limit: RateLimit, importance: Importance) -> bool:
    if limit.refusal(importance) is not None:
        return False
    limit.record_start(make_call(importance=importance))
    return True


@given(
    st.floats(0, 300),
    st.lists(st.integers(0, 40), min_size=200, max_size=400),
    st.integers(0, 3),
)
def test_no_window_exceeds_the_limit_by_more_than_a_burst(
    per_second: float, arrivals: list[int], rank: int
) -> None:
    """Whatever the arrivals, 4 s see the limit and one burst at the most.

    A target that takes nothing is asked once every four seconds, as only a
    response shows that the limit has ended.
    """
    clock = ManualClock()
    limit = _named(clock, per_second)
    started = []
    for count in arrivals:
        clock.advance(_STEP_MS)
        importance = Importance(rank)
        started.append(sum(_start(limit, importance) for _ in range(count)))
    steps = _WINDOW_MS // _STEP_MS
    worst = max(
        sum(started[first : first + steps])
        for first in range(len(started) - steps + 1)
    )
    seconds = _WINDOW_MS / 1000
    assert worst <= max(per_second, 0.25) * (seconds + 0.25) + 2


def test_less_important_calls_find_the_bucket_empty_first() -> None:
    """More important calls get room that others would have used up."""
    clock = ManualClock()
    limit = _named(clock, 40)
    served = {rank: 0 for rank in Importance}
    for _ in range(500):
        clock.advance(_STEP_MS)
        for rank in Importance:
            served[rank] += _start(limit, rank)
    assert served[Importance.CRITICAL] >= 390
    assert served[Importance.LOW] <= 10


def test_retry_delay_is_the_time_until_there_is_room() -> None:
    """A caller that comes back when told, and alone, is served."""
    clock = ManualClock()
    limit = _named(clock, 2)
    refusal = limit.refusal(Importance.LOW)
    assert refusal is not None
    clock.advance(refusal.retry_after_ms - 50)
    assert limit.refusal(Importance.LOW) is not None
    clock.advance(51)
    assert _start(limit, Importance.LOW)


def test_only_a_later_request_shows_that_the_limit_has_ended() -> None:
    """Responses to requests sent before the limit was named do not end it."""
    clock = ManualClock(now=1000)
    limit = _named(clock, 2)
    assert not limit.apply(RateOmitted(), sent_ms=999)
    assert not limit.apply(RateUnreadable(), sent_ms=2000)
    assert limit.current() == 2
    assert limit.apply(RateOmitted(), sent_ms=1001)
    assert limit.current() is None


def test_limit_that_flickers_admits_no_more() -> None:
    """A limit that ends and is named again starts without saved calls."""
    clock = ManualClock()
    limit = _named(clock, 4)
    clock.advance(5000)
    limit.apply(RateOmitted(), sent_ms=clock.now())
    limit.apply(RateNamed(per_second=4), sent_ms=clock.now())
    assert not _start(limit, Importance.CRITICAL)


def test_callers_are_believed_only_until_the_target_responds() -> None:
    """A caller's memory must not overrule what the target itself says."""
    limit = RateLimit(clock=ManualClock())
    assert limit.assume(3)
    assert limit.current() == 3
    limit.apply(RateOmitted(), sent_ms=0)
    assert limit.current() is None
    assert not limit.assume(3)
    assert limit.current() is None
    limit.forget()
    assert limit.assume(3)
