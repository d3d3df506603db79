"""Command ``savorystand-lab platform``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import click

from savorystand.lab.commands.options import ADDRESS
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener

if TYPE_CHECKING:
    from savorystand.settings.node import Address


@click.command('platform')
@click.option(
    '--listen', type=ADDRESS, required=True, help='Address to listen on.'
)
@click.option('--key', required=True, help='Bearer token of its clients.')
@click.option('--seed', default=0, show_default=True)
def platform(*, listen: Address, key: str, seed: int) -> None:
    """Serve a stand-in for the table service and the object store.

    POST /control changes its behaviour.
    """
    app = platform_app(key=key, seed=seed)
    try:
        listener = PlatformListener(
            app=app,
            host=listen.host,
            port=listen.port,
        )
    except OSError as exc:
        where = listen.text()
        raise click.ClickException(f'{where}: {exc.strerror}') from exc
    click.echo(f'listening=http://{listen.text()}')
    anyio.run(listener.run)
