"""``savorystand tables history``: list accepted revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.output import json_option
from savorystand.console.output import write_success
from savorystand.console.platform import open_platform
from savorystand.console.platform import platform_options
from savorystand.console.platform import run_operation
from savorystand.console.revisions import parse_revision
from savorystand.tables.difference import describe
from savorystand.tables.difference import difference

if TYPE_CHECKING:
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.repository import TablesRepository

_MAX_LISTED_REVISIONS = 1000


@click.command('history')
@click.option(
    '--limit',
    type=click.IntRange(1, _MAX_LISTED_REVISIONS),
    default=10,
    show_default=True,
)
@platform_options
@json_option
def history(*, limit: int, as_json: bool, **options: Any) -> None:
    """List the latest revisions and their changes, newest first."""
    access = open_platform(**options)
    documents = run_operation(
        lambda: _fetch_latest(access.repository(), limit),
        as_json=as_json,
    )
    entries = []
    for newer, older in zip(documents, (*documents[1:], None), strict=True):
        if newer is None:
            continue
        changes = difference(
            parse_revision(older, as_json=as_json),
            parse_revision(newer, as_json=as_json),
        )
        entries.append(
            {
                'revision': newer.revision,
                'change_id': newer.change_id,
                'changes': [describe(change) for change in changes],
            },
        )
    entries = entries[:limit]
    write_success(
        {'revisions': entries}, _format_entries(entries), as_json=as_json
    )


async def _fetch_latest(
    repository: TablesRepository,
    limit: int,
) -> list[TablesDocument]:
    """Return the latest revisions, newest first.

    One revision more than ``limit`` is returned, if it exists: the changes of
    the oldest listed revision are computed from it.
    """
    newest = await repository.head_revision()
    oldest = max(1, newest - limit)
    return [
        await repository.fetch(revision)
        for revision in range(newest, oldest - 1, -1)
    ]


def _format_entries(entries: list[dict[str, Any]]) -> list[str]:
    lines = []
    for entry in entries:
        lines.append(
            f'revision={entry["revision"]} change_id={entry["change_id"]}',
        )
        lines.extend(f'  {change}' for change in entry['changes'])
    return lines
