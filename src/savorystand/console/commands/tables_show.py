"""``savorystand tables show``: show or save an accepted revision."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import click

from savorystand.console.errors import CommandError
from savorystand.console.options import NodeAddress
from savorystand.console.output import json_option
from savorystand.console.output import write_success
from savorystand.console.platform import open_platform
from savorystand.console.platform import platform_options
from savorystand.console.platform import run_operation
from savorystand.console.revisions import fetch_newest
from savorystand.platform.configuration import StoredConfiguration
from savorystand.platform.configuration import parse_configuration
from savorystand.platform.row_client import RowClient
from savorystand.settings.addresses import parse_address
from savorystand.store.connections import ServiceConnections
from savorystand.tables.document import TablesDocument
from savorystand.tables.text import pools_text
from savorystand.tables.text import routes_text

if TYPE_CHECKING:
    from savorystand.tables.repository import TablesRepository

_CommandT = TypeVar('_CommandT', bound=Callable[..., Any])
_OUTPUT_FILE = click.Path(dir_okay=False, path_type=Path)


def _show_options(command: _CommandT) -> _CommandT:
    decorators = (
        click.option(
            '--overwrite', is_flag=True, help='Replace existing files.'
        ),
        click.option(
            '--revision',
            type=click.IntRange(min=1),
            help='Revision to show (default: newest).',
        ),
        click.argument('pools', type=_OUTPUT_FILE, required=False),
        click.argument('routes', type=_OUTPUT_FILE, required=False),
    )
    for decorator in decorators:
        command = decorator(command)
    return command


@click.command('show')
@_show_options
@click.option(
    '--store',
    type=NodeAddress(),
    help="IP:PORT of the users' platform, whose configuration is shown.",
)
@platform_options
@json_option
def show(
    *,
    routes: Path | None,
    pools: Path | None,
    revision: int | None,
    store: str | None,
    overwrite: bool,
    as_json: bool,
    **options: Any,
) -> None:
    """Show a revision, or write it to the files ROUTES and POOLS."""
    if routes is not None and pools is None:
        raise click.UsageError('specify both ROUTES and POOLS, or neither')
    if store is None:
        access = open_platform(**options)
        document = run_operation(
            lambda: _fetch_revision(access.repository(), revision),
            as_json=as_json,
        )
    elif revision is not None or any(options.values()):
        raise click.UsageError(
            '--store cannot be combined with --revision or platform options'
        )
    else:
        document = _load_configuration(store, as_json=as_json)
    if document is None:
        raise CommandError('no tables have been published yet', as_json=as_json)
    summary = f'revision={document.revision} change_id={document.change_id}'
    lines: tuple[str, ...] = (summary,)
    if routes is None or pools is None:
        lines = (summary, document.routes, document.pools)
    else:
        _write_file(routes, document.routes, overwrite, as_json=as_json)
        _write_file(pools, document.pools, overwrite, as_json=as_json)
    write_success(asdict(document), lines, as_json=as_json)


async def _fetch_revision(
    repository: TablesRepository,
    revision: int | None,
) -> TablesDocument | None:
    if revision is None:
        return await fetch_newest(repository)
    return await repository.fetch(revision)


def _load_configuration(store: str, *, as_json: bool) -> TablesDocument | None:
    try:
        return run_operation(
            lambda: _fetch_configuration(store), as_json=as_json
        )
    except ValueError as exc:
        raise CommandError(f'{store}: {exc}', as_json=as_json) from None


async def _fetch_configuration(store: str) -> TablesDocument | None:
    connections = ServiceConnections(address=parse_address(store), key='')
    rows = RowClient(connections=connections)
    try:
        document, _ = await StoredConfiguration(rows=rows).newest()
    finally:
        await connections.close()
    if document is None:
        return None
    tables = parse_configuration(document)
    return TablesDocument(
        revision=tables.revision,
        change_id=tables.change_id,
        routes=routes_text(tables),
        pools=pools_text(tables),
    )


def _write_file(
    path: Path, text: str, overwrite: bool, *, as_json: bool
) -> None:
    mode = 'w' if overwrite else 'x'
    try:
        with path.open(mode, encoding='utf-8', newline='') as stream:
            stream.write(text)
    except FileExistsError:
        problem = f'{path}: exists; use --overwrite or specify another file'
        raise CommandError(problem, as_json=as_json) from None
    except OSError as exc:
        problem = f'{path}: cannot be written: {exc.strerror}'
        raise CommandError(problem, as_json=as_json) from None
