"""Tests the counters, the stored decisions and the latency histogram.

They guard against calls that are missing from the outcome columns, counts of
reused windows in the wrong period, and memory without a bound.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from savorystand.clock import ManualClock
from savorystand.reporting.columns import OUTCOME_COLUMNS
from savorystand.reporting.columns import Column
from savorystand.reporting.counters import Counters
from savorystand.reporting.decisions import MAX_NOTABLE
from savorystand.reporting.decisions import MAX_ORDINARY
from savorystand.reporting.decisions import MAX_STEPS_PER_REQUEST
from savorystand.reporting.decisions import Decisions
from savorystand.reporting.histogram import BUCKET_COUNT
from savorystand.reporting.histogram import bucket_of
from savorystand.reporting.histogram import upper_bound_ms
from savorystand.reporting.observer import AttemptKind
from savorystand.reporting.series import WINDOW_COUNT
from savorystand.reporting.series import WINDOW_MS
from savorystand.reporting.statsd import StatsdSender
from savorystand.reporting.traffic import Traffic
from tests.reporting.builders import ANSWERED
from tests.reporting.builders import OUTCOMES
from tests.reporting.builders import call_of

_CALLS = st.lists(
    st.tuples(
        st.sampled_from(OUTCOMES),
        st.booleans(),
        st.integers(0, 2 * WINDOW_MS * WINDOW_COUNT // 3),
    ),
    max_size=60,
)


@given(calls=_CALLS, windows=st.integers(1, WINDOW_COUNT))
def test_outcomes_sum_to_calls_of_period(
    calls: list[tuple[object, bool, int]], windows: int
) -> None:
    """A call must count in one outcome column and in its own period only."""
    clock = ManualClock()
    counters = Counters(clock=clock)
    sender = StatsdSender(
        clock=clock, counters=counters, traffic=Traffic(), address=None
    )
    sent = 0
    ended: list[int] = []
    for outcome, late, pause_ms in calls:
        clock.advance(pause_ms)
        deadline_ms = clock.now() - 1 if late else clock.now()
        call = call_of('lookup', deadline_ms=deadline_ms)
        counters.count_call(call, outcome, 1)
        ended.append(counters.window())
        sent += sender.deltas().get('lookup.fresh', 0)
    assert sent == len(calls)
    oldest = counters.window() - windows
    for _, series in counters.routes():
        counts = series.sums(counters.window(), windows).counts
        assert counts[Column.FRESH] == sum(window > oldest for window in ended)
        assert counts[Column.FRESH] == sum(
            counts[column] for column in OUTCOME_COLUMNS
        )
        hour = series.sums(counters.window(), WINDOW_COUNT)
        points = series.timeline(counters.window(), 6)
        counted = hour.counts[Column.FRESH] - hour.counts[Column.CALLER_ERROR]
        assert sum(point[0] for point in points) == counted
        responses = hour.counts[Column.ANSWERED] + hour.counts[Column.LATE]
        assert sum(hour.latency) == responses


def test_memory_is_bounded_for_any_number_of_routes() -> None:
    """Routes and windows beyond the limits must not take more memory."""
    clock = ManualClock()
    counters = Counters(clock=clock, max_routes=4)
    for number in range(5 * WINDOW_COUNT):
        clock.advance(WINDOW_MS)
        counters.count_call(call_of(str(number % 40)), ANSWERED, 1)
        counters.count_attempt(call_of('any'), AttemptKind.RETRY, 10)
    # Four routes and the shared series of their importance class.
    assert len(list(counters.routes())) == 5
    assert counters.allocated_windows() <= 5 * WINDOW_COUNT
    assert counters.overflow_count > 0
    clock.advance(WINDOW_MS * WINDOW_COUNT)
    counters.count_call(call_of('late'), ANSWERED, 1)
    assert 'late' in dict(counters.routes())


def test_decisions_are_bounded_and_retain_refused_requests() -> None:
    """Many ordinary requests must not evict a request that failed."""
    decisions = Decisions(clock=ManualClock())
    for number in range(3 * MAX_NOTABLE):
        request_id = f'r{number}'
        for _ in range(2 + MAX_STEPS_PER_REQUEST if number == 0 else 1):
            decisions.add(
                request_id,
                event='call',
                route='lookup',
                subject='refill',
                verdict='answered',
            )
        if number == 0:
            decisions.retain(request_id)
    assert len(decisions) == MAX_ORDINARY + 1
    first = decisions.explain('r0')
    assert first is not None
    assert first['steps_dropped'] == 2
    assert decisions.explain('r1') is None


@given(st.floats(0, 130000))
def test_bucket_holds_latency(elapsed_ms: float) -> None:
    """A latency in the wrong bucket would shift all quantiles."""
    bucket = bucket_of(elapsed_ms)
    assert 0 <= bucket < BUCKET_COUNT
    assert elapsed_ms <= upper_bound_ms(bucket)
    assert bucket == 0 or elapsed_ms >= upper_bound_ms(bucket - 1) - 1 / 16
