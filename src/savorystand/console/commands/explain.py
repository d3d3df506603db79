"""``savorystand explain``: the decisions made on one request, and why."""

from __future__ import annotations

import json
import sys
from operator import itemgetter
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.client import NodeFailure
from savorystand.console.client import NodeResponse
from savorystand.console.client import explain_path
from savorystand.console.client import query_nodes
from savorystand.console.options import EXIT_NODE_MISSING
from savorystand.console.options import EXIT_UNREACHABLE
from savorystand.console.options import node_options
from savorystand.console.options import read_access
from savorystand.reporting.text import printable
from savorystand.reporting.text import table

if TYPE_CHECKING:
    from pathlib import Path

_HTTP_NOT_FOUND = 404
_STEP_COLUMNS = (
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

    Exits with 1 if a node is missing or has no record of the request, and
    with 3 if all nodes are missing.
    """
    access = read_access(key_file, authority)
    node_results = query_nodes(nodes, explain_path(request_id), access)
    failures = [
        node_result
        for node_result in node_results
        if isinstance(node_result, NodeFailure)
    ]
    steps = [
        step
        for node_result in node_results
        if isinstance(node_result, NodeResponse)
        for step in _parse_steps(node_result.document)
    ]
    steps.sort(key=itemgetter('at_ms'))
    if as_json:
        missing = [
            {'node': failure.address, 'why': failure.why}
            for failure in failures
        ]
        click.echo(json.dumps({'steps': steps, 'missing': missing}))
    else:
        click.echo(_format_text(steps, failures))
    unreachable = [
        failure for failure in failures if failure.status != _HTTP_NOT_FOUND
    ]
    if len(unreachable) == len(node_results):
        sys.exit(EXIT_UNREACHABLE)
    if failures:
        sys.exit(EXIT_NODE_MISSING)


def _parse_steps(document: object) -> list[dict[str, Any]]:
    match document:
        case {'node': node, 'steps': [*steps]}:
            return [{'node': node, **step} for step in steps]
        case _:
            return []


def _format_text(
    steps: list[dict[str, Any]], failures: list[NodeFailure]
) -> str:
    rows = [
        [_format_cell(step.get(name)) for name in _STEP_COLUMNS]
        for step in steps
    ]
    lines = [table(_STEP_COLUMNS, rows)]
    for failure in failures:
        if failure.status == _HTTP_NOT_FOUND:
            lines.append(f'{failure.address}: has no record of this request')
        else:
            lines.append(f'MISSING {failure.address}: {printable(failure.why)}')
    return '\n'.join(lines)


def _format_cell(cell: object) -> str:
    if isinstance(cell, float):
        return f'{cell:.1f}'
    return str(cell)
