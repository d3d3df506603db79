"""``savorystand tables check``: check table files without the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from savorystand.console.files import parse_document
from savorystand.console.files import read_document
from savorystand.console.files import table_file_arguments
from savorystand.console.output import json_option
from savorystand.console.output import write_success

if TYPE_CHECKING:
    from pathlib import Path


@click.command('check')
@table_file_arguments
@json_option
def check(*, routes: Path, pools: Path, as_json: bool) -> None:
    """Check ROUTES and POOLS and show all faults."""
    document = read_document(routes, pools, revision=0, as_json=as_json)
    tables = parse_document(document, routes, pools, as_json=as_json)
    counts = {'routes': len(tables.routes), 'pools': len(tables.pools)}
    line = f'ok routes={counts["routes"]} pools={counts["pools"]}'
    write_success(counts, (line,), as_json=as_json)
