"""``savorystand status``: members, revisions, limits and load."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.client import STATUS_PATH
from savorystand.console.client import NodeFailure
from savorystand.console.client import NodeResponse
from savorystand.console.client import NodeResult
from savorystand.console.client import query_nodes
from savorystand.console.options import EXIT_NODE_MISSING
from savorystand.console.options import EXIT_UNREACHABLE
from savorystand.console.options import node_options
from savorystand.console.options import read_access
from savorystand.reporting.text import printable
from savorystand.reporting.text import table

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

_MEMBER_COLUMNS = (
    'node',
    'address',
    'state',
    'failure_domain',
    'region',
    'pool',
    'revision',
)


@click.command('status')
@node_options
def status_command(
    nodes: tuple[str, ...],
    key_file: Path,
    authority: Path | None,
    *,
    as_json: bool,
) -> None:
    """Show the members, tables, limits and load that nodes report.

    Exits with 1 if a node is missing and with 3 if all nodes are.
    """
    node_results = query_nodes(
        nodes, STATUS_PATH, read_access(key_file, authority)
    )
    if as_json:
        click.echo(json.dumps(_document(node_results)))
    else:
        click.echo(
            '\n\n'.join(
                _format_text(node_result) for node_result in node_results
            )
        )
    failures = [
        node_result
        for node_result in node_results
        if isinstance(node_result, NodeFailure)
    ]
    if len(failures) == len(node_results):
        sys.exit(EXIT_UNREACHABLE)
    if failures:
        sys.exit(EXIT_NODE_MISSING)


def _document(node_results: Sequence[NodeResult]) -> dict[str, object]:
    nodes: list[object] = []
    missing: list[dict[str, str]] = []
    for node_result in node_results:
        match node_result:
            case NodeResponse(document=document):
                nodes.append(document)
            case NodeFailure(address=address, why=why):
                missing.append({'node': address, 'why': why})
    return {'nodes': nodes, 'missing': missing}


def _format_text(node_result: NodeResult) -> str:
    match node_result:
        case NodeResponse(address=address, document={'node': _} as status):
            return _format_status(address, status)
        case NodeResponse(address=address):
            return f'MISSING {address}: response is not a status document'
        case NodeFailure(address=address, why=why):
            return f'MISSING {address}: {printable(why)}'


def _format_status(address: str, status: Any) -> str:
    sections = (
        'myself',
        'tables',
        'admission',
        'keys',
        'datagrams',
        'counters',
    )
    lines = [f'node {printable(str(status["node"]))} at {address}']
    lines.extend(
        f'{section}: {_format_pairs(status.get(section, {}))}'
        for section in sections
    )
    lines.extend(
        f'pool: {_format_pairs(pool)}' for pool in status.get('limits', [])
    )
    rows = [
        [str(member.get(column, '')) for column in _MEMBER_COLUMNS]
        for member in status.get('members', [])
    ]
    lines.append(table(_MEMBER_COLUMNS, rows))
    return '\n'.join(lines)


def _format_pairs(section: dict[str, object]) -> str:
    return ' '.join(
        f'{printable(name)}={printable(str(section[name]))}' for name in section
    )
