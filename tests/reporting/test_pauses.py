"""Guards against late answers that the log does not explain.

They may be due to a process that did not run, or to a wait in it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.logs import EventLog
from savorystand.reporting.pauses import PauseLog
from tests.policy_doubles import let_tasks_run

if TYPE_CHECKING:
    from savorystand.reporting.logs import Event

pytestmark = pytest.mark.anyio


class _Log(EventLog):
    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock=clock, node_id='node')
        self.pauses_ms: list[str] = []

    def write(self, event: Event) -> None:
        self.pauses_ms.append(dict(event.extra)['paused_ms'])


async def test_pause_of_the_process_is_logged() -> None:
    """A wake-up that is late by less is usual on a busy machine."""
    clock = ManualClock()
    kernel = Kernel()
    log = _Log(clock)
    kernel.register('clock', clock)
    kernel.register('log', log)
    pauses = PauseLog(kernel=kernel)
    async with anyio.create_task_group() as tasks:
        await tasks.start(
            lambda task_status: pauses.run(task_status=task_status)
        )
        for step_ms in (500, 600, 500, 400, 2700, 300):
            await let_tasks_run()
            clock.advance(step_ms)
        await let_tasks_run()
        tasks.cancel_scope.cancel()
    assert log.pauses_ms == ['2200']
