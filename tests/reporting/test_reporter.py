"""Tests what the observer of the call path counts.

They guard against calls, retries or bytes that the counters miss.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.clock import ManualClock
from savorystand.dispatch.attempts import AttemptRunner
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.columns import Column
from savorystand.reporting.counters import Counters
from savorystand.reporting.decisions import Decisions
from savorystand.reporting.logs import EventLog
from savorystand.reporting.observer import AttemptKind
from savorystand.reporting.reporter import CallReporter
from savorystand.routing.choice import Choice
from tests.reporting.builders import ANSWERED
from tests.reporting.builders import OUTCOMES
from tests.reporting.builders import call_of
from tests.reporting.builders import member_of
from tests.reporting.nodes import StaticDirectory

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome


class StalledAttemptRunner(AttemptRunner):
    """Runner whose attempts never end; needs no other service."""

    def __init__(self) -> None:
        """Skip the setup of the base class, which needs a kernel."""

    async def run(self, call: Call) -> Outcome:
        """Wait until cancelled."""
        await anyio.sleep_forever()
        raise AssertionError


def _build_kernel(clock: Clock) -> tuple[Kernel, Counters]:
    kernel = Kernel()
    counters = Counters(clock=clock)
    members = StaticDirectory(member_of('aa'), member_of('bb', 'Viti Levu'))
    kernel.register('clock', clock)
    kernel.register('membership', members)
    kernel.register('counters', counters)
    kernel.register('decisions', Decisions(clock=clock))
    kernel.register('log', EventLog(clock=clock, node_id='aa'))
    kernel.register('observer', CallReporter(kernel=kernel))
    return kernel, counters


@pytest.mark.parametrize(('peer', 'size'), [('aa', 0), ('bb', 7 + 4), ('c', 0)])
def test_attempts_count_by_kind_and_bytes(peer: str, size: int) -> None:
    """Only the bodies of attempts between regions must be counted."""
    kernel, counters = _build_kernel(ManualClock())
    reporter = kernel.find('observer', CallReporter)
    choice = Choice(peer=member_of(peer).peer, reason='least')
    call = replace(call_of('lookup'), body=b'request')
    for kind in AttemptKind:
        reporter.on_attempt(call, choice, ANSWERED, 1, kind)
    for outcome in OUTCOMES:
        other = call_of('other')
        reporter.on_attempt(other, choice, outcome, 1, AttemptKind.FRESH)
    series = dict(counters.routes())['lookup']
    assert series.cross_region_bytes == 3 * size
    counts = (Column.ATTEMPTS, Column.RETRIES, Column.HEDGES)
    assert [series.total(column) for column in counts] == [3, 1, 1]


@pytest.mark.anyio
async def test_cancelled_call_is_counted() -> None:
    """A call cancelled by its caller must not be missing from the report."""
    clock = Clock()
    kernel, counters = _build_kernel(clock)
    attempts = StalledAttemptRunner()
    kernel.register('attempts', attempts)
    dispatcher = Dispatcher(kernel=kernel)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(dispatcher.call, call_of('lookup'))
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    series = dict(counters.routes())['lookup']
    assert series.total(Column.CANCELLED) == 1
    assert series.total(Column.FRESH) == 1
