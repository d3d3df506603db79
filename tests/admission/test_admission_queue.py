"""Guards against leaked slots, wrong order and long calls in all slots.

Slots leak if a call is cancelled while it is being admitted. Long calls that
take all slots would make every short call wait for one of them.
"""

from __future__ import annotations

import asyncio
from typing import Any

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from savorystand.admission.admitted_rank import AdmittedRank
from savorystand.admission.limit import ConcurrencyLimit
from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.queue import Permit
from savorystand.admission.service_times import ServiceTimes
from savorystand.admission.slots import LONG_FRACTION
from savorystand.call import Importance
from savorystand.clock import ManualClock
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call

_LONG_BODY = bytes(70000)
_LOOP_ITERATIONS = 4


class _TrackedCall:
    """State of one call in the reference model."""

    def __init__(self, *, rank: int, is_long: bool) -> None:
        self.rank = rank
        self.is_long = is_long
        self.task: asyncio.Task[object] | None = None
        self.permit: Permit | None = None


class AdmissionMachine(RuleBasedStateMachine):
    """Random operations on the queue, compared with a reference model."""

    def __init__(self) -> None:
        """Create an empty queue and reference model."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.queue = AdmissionQueue(clock=self.clock)
        # Records the same samples, so that it classifies calls like the queue.
        self.times = ServiceTimes(clock=self.clock)
        self.waiting: list[_TrackedCall] = []
        self.running: list[_TrackedCall] = []

    @initialize(slots=st.integers(1, 6))
    def warm_up(self, slots: int) -> None:
        """Let the queue learn a short route and a long one."""
        self.queue.set_slots(slots)
        for _ in range(10):
            for upload, elapsed in ((False, 10), (False, 10), (True, 1000)):
                self.arrive(
                    rank=2, upload=upload, remaining_ms=60000, cancel=False
                )
                self.clock.advance(elapsed)
                if self.running:
                    self.end(pick=0, answered=True, cancel_pick=None)

    def teardown(self) -> None:
        """Check that no slot stays in use once all calls have ended."""
        while self.waiting:
            self.cancel(0)
        while self.running:
            self.end(pick=0, answered=True, cancel_pick=None)
        assert self.queue.in_progress() == 0
        self.loop.close()

    @rule(
        burst=st.lists(
            st.fixed_dictionaries(
                {
                    'rank': st.integers(0, 3),
                    'upload': st.sampled_from((False, False, True)),
                    'remaining_ms': st.sampled_from((5, 900, 5000, 60000)),
                    'cancel': st.sampled_from((False, False, False, True)),
                }
            ),
            min_size=1,
            max_size=6,
        )
    )
    def arrive_all(self, burst: list[dict[str, Any]]) -> None:
        """Admit several calls one after the other."""
        for fields in burst:
            self.arrive(**fields)

    def arrive(
        self, rank: int, upload: bool, remaining_ms: int, cancel: bool
    ) -> None:
        """Admit a call; maybe cancel it before its first step."""
        route = 'upload' if upload else 'lookup'
        call = make_call(
            route=route,
            body=_LONG_BODY if upload else b'',
            importance=Importance(rank),
            deadline_ms=self.clock.now() + remaining_ms,
        )
        is_long = self.times.estimate(call).is_long
        tracked = _TrackedCall(rank=rank, is_long=is_long)
        tracked.task = self.loop.create_task(self.queue.admit(call))
        if cancel:
            tracked.task.cancel()
        self.run_and_check(arrived=tracked)

    @rule(
        pick=st.integers(0, 9),
        answered=st.booleans(),
        cancel_pick=st.none() | st.integers(0, 5),
    )
    def end(self, pick: int, answered: bool, cancel_pick: int | None) -> None:
        """End a call; maybe cancel a waiting call that got its slot."""
        if not self.running:
            return
        tracked = self.running.pop(pick % len(self.running))
        assert tracked.permit is not None
        elapsed = self.clock.now() - tracked.permit.admitted_ms
        time_class = tracked.permit.estimate.time_class
        if answered:
            self.times.record(time_class, elapsed)
        else:
            self.times.record_unfinished(time_class, elapsed)
        self.queue.release(tracked.permit, answered=answered)
        if cancel_pick is not None:
            self.cancel(cancel_pick)
        self.run_and_check()

    @rule(pick=st.integers(0, 9))
    def cancel(self, pick: int) -> None:
        """Cancel a waiting call, if there is one."""
        if self.waiting:
            task = self.waiting[pick % len(self.waiting)].task
            assert task is not None
            task.cancel()
            self.run_and_check()

    @rule(slots=st.integers(1, 6))
    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self.queue.set_slots(slots)
        self.run_and_check()

    @rule(ms=st.sampled_from((1, 20, 300, 2000)))
    def advance(self, ms: int) -> None:
        """Advance the clock."""
        self.clock.advance(ms)

    @invariant()
    def counts_match(self) -> None:
        """Counts of running and queued calls match the reference model."""
        load = self.queue.load()
        assert load.in_flight == len(self.running)
        assert self.queue.in_progress() == len(self.running + self.waiting)
        # Four calls per slot, with at most six slots.
        assert len(self.waiting) <= 24
        # Waiting long calls must not divert short calls to other targets.
        assert load.queued <= len(self.waiting)

    def run_and_check(self, arrived: _TrackedCall | None = None) -> None:
        """Run the event loop and check what was admitted in this step."""
        for _ in range(_LOOP_ITERATIONS):
            self.loop.run_until_complete(asyncio.sleep(0))
        if arrived is not None:
            self.waiting.append(arrived)
        decided = [call for call in self.waiting if self._is_done(call)]
        self.waiting = [call for call in self.waiting if call not in decided]
        admitted = [call for call in decided if self._store_permit(call)]
        self.running.extend(admitted)
        if admitted:
            self._check(admitted, arrived)

    def _is_done(self, call: _TrackedCall) -> bool:
        assert call.task is not None
        return call.task.done()

    def _store_permit(self, call: _TrackedCall) -> bool:
        assert call.task is not None
        if call.task.cancelled() or not isinstance(call.task.result(), Permit):
            return False
        call.permit = call.task.result()
        return True

    def _check(
        self, admitted: list[_TrackedCall], arrived: _TrackedCall | None
    ) -> None:
        limit = self.queue.load().limit
        assert len(self.running) <= limit
        longs = sum(call.is_long for call in self.running)
        long_limit = max(1, int(limit * LONG_FRACTION))
        if any(call.is_long for call in admitted):
            assert longs <= long_limit
        lowest_rank = min(call.rank for call in admitted)
        for call in self.waiting:
            admissible = not call.is_long or longs < long_limit
            if call is not arrived and admissible:
                assert call.rank <= lowest_rank


AdmissionMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=40,
)
TestAdmission = AdmissionMachine.TestCase


@pytest.mark.anyio
async def test_eviction_takes_newest_of_least_important() -> None:
    """A full queue must evict a less important call for a critical one."""
    queue = AdmissionQueue(clock=ManualClock())
    await queue.admit(make_call())
    ended = []

    async def wait(name: str, importance: Importance) -> None:
        refusal = await queue.admit(make_call(importance=importance))
        assert isinstance(refusal, NotRun)
        ended.append((name, refusal.reason, refusal.retry_after_ms))

    async with anyio.create_task_group() as tasks:
        for number in range(16):
            rank = Importance.LOW if number in {3, 7} else Importance.HIGH
            tasks.start_soon(wait, str(number), rank)
        await let_tasks_run()
        tasks.start_soon(wait, 'refund', Importance.CRITICAL)
        await let_tasks_run()
        tasks.cancel_scope.cancel()
    assert ended == [('7', Reason.OVERLOADED, 100)]


@pytest.mark.anyio
async def test_refuses_what_cannot_finish_before_its_deadline() -> None:
    """Slots must not go to calls whose callers will have given up."""
    clock = ManualClock()
    queue = AdmissionQueue(clock=clock)
    ended = []

    async def run(remaining_ms: int) -> None:
        call = make_call(deadline_ms=clock.now() + remaining_ms)
        admitted = await queue.admit(call)
        if isinstance(admitted, NotRun):
            ended.append((remaining_ms, admitted.reason))
            return
        await clock.sleep(100)
        queue.release(admitted, answered=True)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, 1000)
        await let_tasks_run()
        clock.advance(100)
        await let_tasks_run()
        for remaining_ms in (99, 1000, 199, 230):
            tasks.start_soon(run, remaining_ms)
        await let_tasks_run()
        assert ended == [(99, Reason.DEADLINE), (199, Reason.OVERLOADED)]
        # The running call takes longer than expected, which makes it too
        # late for the one that waits.
        clock.advance(140)
        await let_tasks_run()
        assert ended[2:] == [(230, Reason.DEADLINE)]
    assert queue.in_progress() == 0


@pytest.mark.anyio
async def test_draining_refuses_only_new_calls() -> None:
    """A leaving target must get no new work although peers still send."""
    clock = ManualClock()
    queue = AdmissionQueue(clock=clock)
    queue.drain_after(3000)
    clock.advance(2999)
    assert isinstance(await queue.admit(make_call()), Permit)
    clock.advance(1)
    refused = await queue.admit(make_call())
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.DRAINING
    queue.open_to_new_work()
    assert queue.in_progress() == 1


def test_limit_follows_load_but_not_a_slow_disk() -> None:
    """The limit adapts within a second and is cut only where that helps."""
    clock = ManualClock()
    limit = ConcurrencyLimit(clock=clock)
    limit.resize(90)
    assert limit.current() == 90

    def run(ratio_at: dict[str, float]) -> None:
        for _ in range(200):
            clock.advance(5)
            ratio = ratio_at['fixed'] + ratio_at['each'] * limit.current()
            limit.record(ratio, elapsed_ms=10, in_flight=limit.current())

    run({'fixed': 0, 'each': 0.1})
    assert limit.current() < 30
    run({'fixed': 1, 'each': 0})
    assert limit.current() > 80
    run({'fixed': 1, 'each': 0})
    assert limit.current() == 90
    run({'fixed': 10, 'each': 0})
    assert limit.current() == 90
    limit.resize(13)
    assert limit.current() == 13


# Guards against slots that idle after a start although nobody else can take the
# calls.
def test_limit_is_all_slots_after_a_start() -> None:
    """A cut that was learned from an earlier target does not apply either."""
    clock = ManualClock()
    limit = ConcurrencyLimit(clock=clock)
    limit.resize(90)
    limit.record_refusal()
    clock.advance(1000)
    limit.record_refusal()
    assert limit.current() < 90
    limit.restart()
    assert limit.current() == 90


def test_admitted_rank_rises_and_falls_with_delay() -> None:
    """Shedding must follow the delay of the calls above, with hysteresis."""
    clock = ManualClock()
    rank = AdmittedRank(clock=clock)
    seen = []
    for delay in (50, 50, 50, 50, 10, 10, 0, 0, 0, 0):
        for importance in Importance:
            rank.record(importance, delay)
        clock.advance(200)
        seen.append(rank.current())
    assert seen == [1, 2, 3, 3, 3, 3, 3, 2, 2, 1]
    clock.advance(400)
    assert rank.current() == 0
