"""``savorystand explain``: what was decided on one request, and why."""

from __future__ import annotations

import json
import sys
from operator import itemgetter
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.client import Failed
from savorystand.console.client import Replied
from savorystand.console.client import ask_all
from savorystand.console.client import explain_path
from savorystand.console.options import EXIT_MISSING
from savorystand.console.options import EXIT_UNREACHABLE
from savorystand.console.options import node_options
from savorystand.console.options import read_access
from savorystand.reporting.text import printable
from savorystand.reporting.text import table

if TYPE_CHECKING:
    from pathlib import Path

_NOT_FOUND = 404
_COLUMNS = (
    'at_ms',
    'node',
    'event',
    'route',
    'subject',
    'verdict',
    'reason',
    'elapsed_ms',
    'why',
)


@click.command('explain')
@click.argument('request_id')
@node_options
def explain_command(
    request_id: str,
    nodes: tuple[str, ...],
    key_file: Path,
    authority: Path | None,
    *,
    as_json: bool,
) -> None:
    """Show the attempts, waits and refusals of one request.

    Exits with 1 if a node is missing or knows nothing of the request, and
    with 3 if none could be reached.
    """
    access = read_access(key_file, authority)
    replies = ask_all(nodes, explain_path(request_id), access)
    failed = [reply for reply in replies if isinstance(reply, Failed)]
    steps = [
        step
        for reply in replies
        if isinstance(reply, Replied)
        for step in _steps(reply.document)
    ]
    steps.sort(key=itemgetter('at_ms'))
    if as_json:
        gaps = [{'node': gap.address, 'why': gap.why} for gap in failed]
        click.echo(json.dumps({'steps': steps, 'missing': gaps}))
    else:
        click.echo(_text(steps, failed))
    unreached = [gap for gap in failed if gap.status != _NOT_FOUND]
    if len(unreached) == len(replies):
        sys.exit(EXIT_UNREACHABLE)
    if failed:
        sys.exit(EXIT_MISSING)


def _steps(document: object) -> list[dict[str, Any]]:
    match document:
        case {'node': node, 'steps': [*steps]}:
            return [{'node': node, **step} for step in steps]
        case _:
            return []


def _text(steps: list[dict[str, Any]], failed: list[Failed]) -> str:
    rows = [[_cell(step.get(name)) for name in _COLUMNS] for step in steps]
    lines = [table(_COLUMNS, rows)]
    for gap in failed:
        if gap.status == _NOT_FOUND:
            lines.append(f'{gap.address}: knows nothing of this request')
        else:
            lines.append(f'MISSING {gap.address}: {printable(gap.why)}')
    return '\n'.join(lines)


def _cell(entry: object) -> str:
    if isinstance(entry, float):
        return f'{entry:.1f}'
    return str(entry)
