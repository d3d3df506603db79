"""``savorystand report``: service-level burn of all nodes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.client import REPORT_PATH
from savorystand.console.client import STATUS_PATH
from savorystand.console.client import Failed
from savorystand.console.client import NodeReply
from savorystand.console.client import Replied
from savorystand.console.client import ask_all
from savorystand.console.options import EXIT_MISSING
from savorystand.console.options import EXIT_UNREACHABLE
from savorystand.console.options import node_options
from savorystand.console.options import read_access
from savorystand.reporting.burn import BurnReport
from savorystand.reporting.burn import MissingNode
from savorystand.reporting.burn import build_report
from savorystand.reporting.documents import ReportFormatError
from savorystand.reporting.documents import parse_report
from savorystand.reporting.html import report_page
from savorystand.reporting.text import report_document
from savorystand.reporting.text import report_text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.console.client import Access
    from savorystand.reporting.documents import NodeCounts

_NOT_ASKED = 'no --node gives its listener for callers'


@click.command('report')
@node_options
@click.option(
    '--html',
    'page',
    type=click.Path(dir_okay=False, path_type=Path),
    help='Write an HTML page with plots to this file.',
)
def report_command(
    nodes: tuple[str, ...],
    key_file: Path,
    authority: Path | None,
    page: Path | None,
    *,
    as_json: bool,
) -> None:
    """Show goodput, burn rate and error budget of each route.

    Exits with 1 if a node is missing and with 3 if none could be reached.
    """
    report = collect(nodes, read_access(key_file, authority))
    if page is not None:
        page.write_text(
            report_page(report, title='savorystand: service-level burn'),
            encoding='utf-8',
        )
    if as_json:
        click.echo(json.dumps(report_document(report)))
    else:
        click.echo(report_text(report))
    if not report.nodes:
        sys.exit(EXIT_UNREACHABLE)
    if report.missing:
        sys.exit(EXIT_MISSING)


def collect(nodes: Sequence[str], access: Access) -> BurnReport:
    """Return the report of the nodes at these addresses.

    Members that the first answering node knows and that are not among them
    are named as missing.
    """
    answers: list[NodeCounts] = []
    missing: list[MissingNode] = []
    for reply in ask_all(nodes, REPORT_PATH, access):
        match _parsed(reply):
            case MissingNode() as gap:
                missing.append(gap)
            case counts:
                answers.append(counts)
    known = {answer.node for answer in answers}
    missing.extend(
        MissingNode(node=f'{node_id} at {address}', why=_NOT_ASKED)
        for node_id, address in _members(nodes, access)
        if node_id not in known
    )
    return build_report(answers, missing)


def _parsed(reply: NodeReply) -> NodeCounts | MissingNode:
    match reply:
        case Failed(address=address, why=why):
            return MissingNode(node=address, why=why)
        case Replied(address=address, document=document):
            try:
                return parse_report(document)
            except ReportFormatError as exc:
                return MissingNode(node=address, why=str(exc))


def _members(
    nodes: Sequence[str],
    access: Access,
) -> list[tuple[str, str]]:
    for address in nodes:
        members = _listed(ask_all([address], STATUS_PATH, access)[0])
        if members:
            return [_named(member) for member in members if _counts(member)]
    return []


def _listed(reply: NodeReply) -> list[Any]:
    match reply:
        case Replied(document={'members': [*members]}):
            return members
        case _:
            return []


def _named(member: dict[str, Any]) -> tuple[str, str]:
    return str(member.get('node')), str(member.get('address'))


def _counts(member: Any) -> bool:
    # A dead member's counters are gone with its process; it is not a gap
    # that another --node could close.
    return isinstance(member, dict) and member.get('state') != 'dead'
