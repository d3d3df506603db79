"""``savorystand tables apply``: publish the next revision."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.clock import Clock
from savorystand.console.conflicts import conflict_error
from savorystand.console.errors import UnknownOutcomeError
from savorystand.console.files import parse_document
from savorystand.console.files import read_document
from savorystand.console.files import table_file_arguments
from savorystand.console.output import json_option
from savorystand.console.output import write_success
from savorystand.console.platform import open_platform
from savorystand.console.platform import platform_options
from savorystand.console.platform import run_operation
from savorystand.tables.editor import TablesEditor
from savorystand.tables.edits import EditConflictError

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.console.platform import PlatformAccess
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.editor import AcceptedEdit


@click.command('apply')
@table_file_arguments
@click.option(
    '--based-on',
    type=click.IntRange(min=0),
    required=True,
    help='Revision that the files are based on; 0 if there is none yet.',
)
@platform_options
@json_option
def apply(
    *,
    routes: Path,
    pools: Path,
    based_on: int,
    as_json: bool,
    **options: Any,
) -> None:
    """Publish ROUTES and POOLS as the revision after --based-on."""
    access = open_platform(**options)
    document = read_document(routes, pools, revision=based_on, as_json=as_json)
    parse_document(document, routes, pools, as_json=as_json)
    try:
        accepted = run_operation(
            lambda: _publish(access, document),
            as_json=as_json,
        )
    except EditConflictError as exc:
        raise conflict_error(exc, access, as_json=as_json) from None
    except KeyboardInterrupt:
        next_revision = document.revision + 1
        problem = (
            'interrupted: the change may have been accepted as revision '
            f'{next_revision}; compare its changes in "savorystand tables history"'
        )
        raise UnknownOutcomeError(problem, as_json=as_json) from None
    revision = accepted.document.revision
    change_id = accepted.document.change_id
    if accepted.warning and not as_json:
        click.echo(f'warning: {accepted.warning}', err=True)
    write_success(
        {
            'revision': revision,
            'change_id': change_id,
            'warning': accepted.warning,
        },
        (f'accepted revision={revision} change_id={change_id}',),
        as_json=as_json,
    )


async def _publish(
    access: PlatformAccess, document: TablesDocument
) -> AcceptedEdit:
    editor = TablesEditor(
        repository=access.repository(),
        snapshot=access.snapshot(),
        clock=Clock(),
    )
    return await editor.apply(
        document.routes, document.pools, document.revision
    )
