"""Program of a standalone node, ``savorystand-node``."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import click

from savorystand.memory.allocator import tune_allocator
from savorystand.node.builder import build_node
from savorystand.node.identity import new_node_id
from savorystand.reporting.logs import log_handler
from savorystand.settings.errors import SettingsError
from savorystand.settings.loader import load_settings
from savorystand.trust.errors import CertificateError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorystand.kernel.kernel import Factory
    from savorystand.settings.node import NodeSettings

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def run_node(cfg: NodeSettings, *, replace: Mapping[str, Factory]) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully.

    Raises:
        OSError: an address in the settings cannot be bound.
        CertificateError: a file in the section ``[tls]`` is unusable.
    """
    anyio.run(
        _run_until_signal,
        cfg,
        replace,
        backend_options={'use_uvloop': True},
    )


@click.command()
@click.argument('settings', type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Run the node that SETTINGS, a TOML file, describes."""
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        _exit_with_error(str(exc), EXIT_SETTINGS)
    tune_allocator()
    log_handler().push_application()
    try:
        run_node(cfg, replace={})
    except* CertificateError as failures:
        _exit_with_error(str(_first_cause(failures)), EXIT_SETTINGS)
    except* OSError as group:
        _exit_with_error(
            f'cannot listen on a configured address: {_first_cause(group)}',
            EXIT_ADDRESS,
        )


def _first_cause(exc: BaseException) -> BaseException:
    # Services run in nested task groups; each wraps failures in a group.
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def _exit_with_error(message: str, code: int) -> None:
    click.echo(f'error: {message}', err=True)
    sys.exit(code)


async def _run_until_signal(
    cfg: NodeSettings,
    replace: Mapping[str, Factory],
) -> None:
    kernel = build_node(cfg, node_id=new_node_id(), replace=replace)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_set_on_signal, stop)
        await kernel.run(stop)
        tasks.cancel_scope.cancel()


async def _set_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return
