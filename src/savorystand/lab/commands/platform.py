"""Runs the platform's stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import click

from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener

if TYPE_CHECKING:
    from typing import TextIO


@click.command('platform')
@click.option('--host', default='127.0.0.1', show_default=True)
@click.option('--port', default=0, help='0 takes a free port.')
@click.option('--key-file', type=click.File(), required=True)
@click.option('--seed', default=0, show_default=True)
def platform(
    *,
    host: str,
    port: int,
    key_file: TextIO,
    seed: int,
) -> None:
    """Serve a stand-in of table service and object store.

    Its behaviour is set by POST /control.
    """
    app = platform_app(
        key=key_file.read().strip(),
        seed=seed,
    )
    try:
        listener = PlatformListener(app=app, host=host, port=port)
    except OSError as exc:
        raise click.ClickException(f'{host}:{port}: {exc.strerror}') from exc
    click.echo(f'listening=http://{host}:{listener.port}')
    anyio.run(listener.run)
