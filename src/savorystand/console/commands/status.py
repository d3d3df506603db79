"""``savorystand status``: members, revisions, limits and load."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.client import STATUS_PATH
from savorystand.console.client import Failed
from savorystand.console.client import NodeReply
from savorystand.console.client import Replied
from savorystand.console.client import ask_all
from savorystand.console.options import EXIT_MISSING
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
    """Show what nodes know of the members and of themselves.

    Exits with 1 if a node is missing and with 3 if none could be reached.
    """
    replies = ask_all(nodes, STATUS_PATH, read_access(key_file, authority))
    if as_json:
        click.echo(json.dumps(_document(replies)))
    else:
        click.echo('\n\n'.join(_text(reply) for reply in replies))
    failed = [reply for reply in replies if isinstance(reply, Failed)]
    if len(failed) == len(replies):
        sys.exit(EXIT_UNREACHABLE)
    if failed:
        sys.exit(EXIT_MISSING)


def _document(replies: Sequence[NodeReply]) -> dict[str, object]:
    nodes: list[object] = []
    missing: list[dict[str, str]] = []
    for reply in replies:
        match reply:
            case Replied(document=document):
                nodes.append(document)
            case Failed(address=address, why=why):
                missing.append({'node': address, 'why': why})
    return {'nodes': nodes, 'missing': missing}


def _text(reply: NodeReply) -> str:
    match reply:
        case Replied(address=address, document={'node': _} as status):
            return _node(address, status)
        case Replied(address=address):
            return f'MISSING {address}: answered without a status'
        case Failed(address=address, why=why):
            return f'MISSING {address}: {printable(why)}'


def _node(address: str, status: Any) -> str:
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
        f'{section}: {_pairs(status.get(section, {}))}' for section in sections
    )
    lines.extend(f'pool: {_pairs(pool)}' for pool in status.get('limits', []))
    rows = [
        [str(member.get(column, '')) for column in _MEMBER_COLUMNS]
        for member in status.get('members', [])
    ]
    lines.append(table(_MEMBER_COLUMNS, rows))
    return '\n'.join(lines)


def _pairs(section: dict[str, object]) -> str:
    return ' '.join(
        f'{printable(name)}={printable(str(section[name]))}' for name in section
    )
