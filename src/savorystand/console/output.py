"""Output of commands as text or JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.tables.difference import Change
from savorystand.tables.difference import describe

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
    """Write ``document`` as JSON if ``as_json`` is True, else ``lines``."""
    if as_json:
        click.echo(json.dumps({'ok': True, **document}))
        return
    for line in lines:
        click.echo(line)


def change_document(change: Change) -> dict[str, Any]:
    """Return the JSON representation of a change."""
    return {
        'kind': type(change).__name__.lower(),
        'text': describe(change),
    }
