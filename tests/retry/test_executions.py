"""Guards against a call being attributed to the wrong execution.

The lookups by deadline and by route must only see running executions."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.retry.executions import ExecutionRegistry

_TOLERANCE_MS = 4
_ROUTES = ('a', 'b')


def _context(deadline_ms: int, importance: Importance) -> CallContext:
    return CallContext(
        request_id='r',
        execution_id='',
        deadline_ms=deadline_ms,
        retries_left=0,
        importance=importance,
    )


@settings(max_examples=200, derandomize=True)
@given(
    opened=st.lists(
        st.tuples(
            st.integers(0, 20),
            st.sampled_from(Importance),
            st.sampled_from(_ROUTES),
            st.booleans(),
        ),
        max_size=12,
    ),
    wanted=st.integers(0, 20),
)
def test_lookups_agree_with_a_linear_search(
    opened: list[tuple[int, Importance, str, bool]], wanted: int
) -> None:
    """Closed executions must be gone; equal deadlines must not be mixed up."""
    registry = ExecutionRegistry()
    running = []
    closed = []
    for deadline_ms, importance, route, ends in opened:
        execution = registry.open(_context(deadline_ms, importance), route)
        (closed if ends else running).append(execution)
    for execution in (*closed, *closed):
        registry.close(execution)
    gaps = [abs(one.context.deadline_ms - wanted) for one in running]
    nearest = registry.find_by_deadline(wanted, _TOLERANCE_MS)
    if min(gaps, default=_TOLERANCE_MS) >= _TOLERANCE_MS:
        assert nearest is None
    else:
        assert nearest in running
        assert abs(nearest.context.deadline_ms - wanted) == min(gaps)
    for route in _ROUTES:
        ranks = Counter(
            one.context.importance for one in running if one.route == route
        )
        most_common = registry.most_common_importance(route)
        assert (most_common is None) == (not ranks)
        assert most_common is None or ranks[most_common] == max(ranks.values())
    for execution in running:
        registry.close(execution)
    assert registry.find_by_deadline(wanted, _TOLERANCE_MS) is None
    assert len(registry) == 0
