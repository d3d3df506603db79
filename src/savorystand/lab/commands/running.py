"""Runs commands so that a signal stops their child processes."""

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

_RUN_ERRORS = (ClusterError, CallersError, *CLIENT_ERRORS)


def run_stoppable(run_command: Callable[[], Awaitable[None]]) -> None:
    """Run a command; cancel it on SIGINT or SIGTERM.

    The command stops its child processes when it is cancelled.

    Raises:
        click.ClickException: the command failed.
        click.Abort: a signal stopped the command.
    """
    stopped = anyio.run(
        _run_until_signal, run_command, backend_options={'use_uvloop': True}
    )
    if stopped:
        raise click.Abort


async def _run_until_signal(run_command: Callable[[], Awaitable[None]]) -> bool:
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_signal, tasks)
            await run_command()
            tasks.cancel_scope.cancel()
            return False
    except* _RUN_ERRORS as errors:
        details = '; '.join(_messages(errors))
        raise click.ClickException(details) from errors
    return True


async def _cancel_on_signal(tasks: anyio.abc.TaskGroup) -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            tasks.cancel_scope.cancel()
            return


def _messages(error: BaseException) -> list[str]:
    if not isinstance(error, BaseExceptionGroup):
        return [str(error) or type(error).__name__]
    return [
        message for inner in error.exceptions for message in _messages(inner)
    ]
