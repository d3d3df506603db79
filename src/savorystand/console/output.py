"""Output of commands as lines or as JSON."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.tables.difference import Change
from savorystand.tables.difference import Row
from savorystand.tables.difference import describe
from savorystand.tables.route import Route

if TYPE_CHECKING:
    from collections.abc import Iterable

json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Write one JSON document to standard output.',
)


def write_success(
    document: dict[str, Any],
    lines: Iterable[str],
    *,
    as_json: bool,
) -> None:
    """Write ``document`` as JSON, or ``lines``."""
    if as_json:
        click.echo(json.dumps({'ok': True, **document}))
        return
    for line in lines:
        click.echo(line)


def change_document(change: Change) -> dict[str, Any]:
    """Return a change for JSON output."""
    return {
        'kind': type(change).__name__.lower(),
        'text': describe(change),
    }


def row_document(row: Row) -> dict[str, Any]:
    """Return a row for JSON output, with the fields of its table."""
    document = asdict(row)
    if isinstance(row, Route):
        document['match'] = f'{row.method} {row.path}'
        document['importance'] = row.importance.name.lower()
        document.pop('method')
        document.pop('path')
    return document
