"""Runs the lab's commands so that they stop their children."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
import click

from savorystand.lab.callers.driver import CallersError
from savorystand.lab.deployments.processes import ClusterError
from savorystand.lab.http_client import CLIENT_ERRORS

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_FAILURES = (ClusterError, CallersError, *CLIENT_ERRORS)


def run_stoppable(work: Callable[[], Awaitable[None]]) -> None:
    """Run until done; Ctrl-C and SIGTERM stop all child processes.

    Raises:
        click.ClickException: the run failed.
        click.Abort: it was stopped.
    """
    stopped = anyio.run(_run, work, backend_options={'use_uvloop': True})
    if stopped:
        raise click.Abort


async def _run(work: Callable[[], Awaitable[None]]) -> bool:
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, tasks)
            await work()
            tasks.cancel_scope.cancel()
            return False
    except* _FAILURES as failures:
        details = '; '.join(_causes(failures))
        raise click.ClickException(details) from failures
    return True


async def _cancel_on_signal(tasks: anyio.abc.TaskGroup) -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            tasks.cancel_scope.cancel()
            return


def _causes(failure: BaseException) -> list[str]:
    if not isinstance(failure, BaseExceptionGroup):
        return [str(failure) or type(failure).__name__]
    return [cause for inner in failure.exceptions for cause in _causes(inner)]
