"""Reads and checks files of routes and pools."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any
from typing import TypeVar

import click

from savorystand.console.errors import CommandError
from savorystand.tables.document import TablesDocument
from savorystand.tables.faults import Fault
from savorystand.tables.parser import check_tables
from savorystand.tables.tables import Tables
from savorystand.toml.reader import TomlError
from savorystand.toml.reader import decode_toml

_CommandT = TypeVar('_CommandT', bound=Callable[..., Any])
_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def table_file_arguments(command: _CommandT) -> _CommandT:
    """Add the arguments ROUTES and POOLS to a command."""
    # The argument that is added last comes first on the command line.
    command = click.argument('pools', type=_EXISTING_FILE)(command)
    return click.argument('routes', type=_EXISTING_FILE)(command)


def read_document(
    routes: Path,
    pools: Path,
    *,
    revision: int,
    as_json: bool,
) -> TablesDocument:
    """Return the texts of both files as an unpublished revision.

    Raises:
        CommandError: a file cannot be read or is not UTF-8.
    """
    return TablesDocument(
        revision=revision,
        change_id='',
        routes=_read_text(routes, as_json=as_json),
        pools=_read_text(pools, as_json=as_json),
    )


def parse_document(
    document: TablesDocument,
    routes: Path,
    pools: Path,
    *,
    as_json: bool,
) -> Tables:
    """Return the tables that the texts of both files describe.

    ``routes`` and ``pools`` are named as the sources of faults.

    Raises:
        CommandError: the texts have faults; the error lists all of them.
    """
    check = check_tables(
        document,
        routes_file=str(routes),
        pools_file=str(pools),
    )
    if check.faults:
        raise faults_error(check.faults, as_json=as_json)
    return Tables(
        revision=document.revision,
        change_id=document.change_id,
        routes=tuple(check.routes),
        pools=tuple(check.pools),
    )


def faults_error(faults: list[Fault], *, as_json: bool) -> CommandError:
    """Return an error that lists all faults."""
    return CommandError(
        *(fault.text() for fault in faults),
        as_json=as_json,
        faults=[asdict(fault) for fault in faults],
    )


def _read_text(path: Path, *, as_json: bool) -> str:
    try:
        return decode_toml(path.read_bytes())
    except OSError as exc:
        problem = f'{path}: cannot be read: {exc.strerror}'
        remedy = 'name a readable file'
        raise CommandError(f'{problem}; {remedy}', as_json=as_json) from None
    except TomlError as exc:
        fault = Fault(
            source=str(path),
            line=exc.line,
            problem=exc.problem,
            remedy='save the file as UTF-8',
        )
        raise faults_error([fault], as_json=as_json) from None
