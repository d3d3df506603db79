"""``savorystand tables diff``: compare files with the newest revision."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.files import parse_document
from savorystand.console.files import read_document
from savorystand.console.files import table_file_arguments
from savorystand.console.output import change_document
from savorystand.console.output import json_option
from savorystand.console.output import write_success
from savorystand.console.platform import open_platform
from savorystand.console.platform import platform_options
from savorystand.console.platform import run_operation
from savorystand.console.revisions import fetch_newest
from savorystand.console.revisions import parse_revision
from savorystand.tables.difference import describe
from savorystand.tables.difference import difference

if TYPE_CHECKING:
    from pathlib import Path


@click.command('diff')
@table_file_arguments
@platform_options
@json_option
def diff(*, routes: Path, pools: Path, as_json: bool, **options: Any) -> None:
    """Show what ROUTES and POOLS change in the newest revision."""
    access = open_platform(**options)
    document = read_document(routes, pools, revision=0, as_json=as_json)
    ours = parse_document(document, routes, pools, as_json=as_json)
    newest = run_operation(
        lambda: fetch_newest(access.repository()),
        as_json=as_json,
    )
    base = parse_revision(newest, as_json=as_json)
    changes = difference(base, ours)
    write_success(
        {
            'revision': base.revision,
            'changes': [change_document(change) for change in changes],
        },
        (
            f'revision={base.revision} changes={len(changes)}',
            *(describe(change) for change in changes),
        ),
        as_json=as_json,
    )
