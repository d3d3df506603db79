"""Guards against one unexpected error that ends a process with all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.kernel.service import Service

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

pytestmark = pytest.mark.anyio


class _Failing(Service):
    """Fails in each of its first ``failures`` runs."""

    def __init__(self, *, failures: int, starts: bool = True) -> None:
        self.runs = 0
        self._failures = failures
        self._starts = starts

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        self.runs += 1
        if self._starts:
            task_status.started()
        await anyio.lowlevel.checkpoint()
        if self.runs <= self._failures:
            raise RuntimeError('a fault of the service')
        await anyio.sleep_forever()


class _Steady(Service):
    """Counts how often it was started."""

    def __init__(self) -> None:
        self.runs = 0

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        self.runs += 1
        await super().run(task_status=task_status)


def _kernel(clock: ManualClock, *services: Service) -> Kernel:
    kernel = Kernel(clock=clock)
    for number, service in enumerate(services):
        kernel.register(f'service {number}', service)
    return kernel


async def _advance(clock: ManualClock, count: int) -> None:
    for _ in range(count):
        await anyio.wait_all_tasks_blocked()
        clock.advance(1000)


async def test_failed_service_runs_again_beside_the_others() -> None:
    """An error in one service must end neither the others nor the process."""
    clock = ManualClock()
    failing, steady = _Failing(failures=2), _Steady()
    kernel = _kernel(clock, failing, steady)
    stop = anyio.Event()
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            await tasks.start(kernel.run, stop)
            await _advance(clock, 3)
            assert failing.runs == 3
            assert steady.runs == 1
            stop.set()


async def test_service_that_keeps_failing_ends_the_process() -> None:
    """A process that cannot work has to be replaced by a fresh one."""
    clock = ManualClock()
    kernel = _kernel(clock, _Failing(failures=1000))
    with anyio.fail_after(5), pytest.raises(ExceptionGroup):
        async with anyio.create_task_group() as tasks:
            await tasks.start(kernel.run, anyio.Event())
            await _advance(clock, 10)


async def test_service_that_fails_rarely_keeps_running() -> None:
    """Old failures do not count towards the bound."""
    clock = ManualClock()
    failing = _Failing(failures=20)
    kernel = _kernel(clock, failing)
    stop = anyio.Event()
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            await tasks.start(kernel.run, stop)
            for _ in range(20):
                await _advance(clock, 1)
                clock.advance(60_000)
            await anyio.wait_all_tasks_blocked()
            assert failing.runs == 21
            stop.set()


async def test_failure_to_start_is_reported() -> None:
    """A service that cannot start, for example bind, is not tried again."""
    failing = _Failing(failures=1, starts=False)
    kernel = _kernel(ManualClock(), failing)
    with pytest.raises(ExceptionGroup):
        await kernel.run(anyio.Event())
    assert failing.runs == 1
