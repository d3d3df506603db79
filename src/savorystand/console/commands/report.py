"""``savorystand report``: burn rates of service-level objectives."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import click

from savorystand.console.client import REPORT_PATH
from savorystand.console.client import STATUS_PATH
from savorystand.console.client import NodeFailure
from savorystand.console.client import NodeResponse
from savorystand.console.client import NodeResult
from savorystand.console.client import query_nodes
from savorystand.console.options import EXIT_NODE_MISSING
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

    from savorystand.console.client import NodeAccess
    from savorystand.reporting.documents import NodeCounts

_NODE_NOT_GIVEN = 'no --node option specifies its listener for callers'


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

    Exits with 1 if a node is missing and with 3 if all nodes are.
    """
    report = collect_report(nodes, read_access(key_file, authority))
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
        sys.exit(EXIT_NODE_MISSING)


def collect_report(nodes: Sequence[str], access: NodeAccess) -> BurnReport:
    """Return the combined report of the nodes at these addresses.

    Nodes without a valid response are listed as missing. So are the members
    that returned no counts, except dead ones; the members are those that the
    first node with a list of members returns.
    """
    node_counts: list[NodeCounts] = []
    missing: list[MissingNode] = []
    for node_result in query_nodes(nodes, REPORT_PATH, access):
        match _parse_counts(node_result):
            case MissingNode() as missing_node:
                missing.append(missing_node)
            case counts:
                node_counts.append(counts)
    reported_nodes = {entry.node for entry in node_counts}
    missing.extend(
        MissingNode(node=f'{node_id} at {address}', why=_NODE_NOT_GIVEN)
        for node_id, address in _fetch_members(nodes, access)
        if node_id not in reported_nodes
    )
    return build_report(node_counts, missing)


def _parse_counts(node_result: NodeResult) -> NodeCounts | MissingNode:
    match node_result:
        case NodeFailure(address=address, why=why):
            return MissingNode(node=address, why=why)
        case NodeResponse(address=address, document=document):
            try:
                return parse_report(document)
            except ReportFormatError as exc:
                return MissingNode(node=address, why=str(exc))


def _fetch_members(
    nodes: Sequence[str],
    access: NodeAccess,
) -> list[tuple[str, str]]:
    for address in nodes:
        members = _parse_members(query_nodes([address], STATUS_PATH, access)[0])
        if members:
            return [
                _id_and_address(member)
                for member in members
                if _is_expected(member)
            ]
    return []


def _parse_members(node_result: NodeResult) -> list[Any]:
    match node_result:
        case NodeResponse(document={'members': [*members]}):
            return members
        case _:
            return []


def _id_and_address(member: dict[str, Any]) -> tuple[str, str]:
    return str(member.get('node')), str(member.get('address'))


def _is_expected(member: Any) -> bool:
    # The counters of a dead member were lost with its process, so a further
    # --node option could not add them.
    return isinstance(member, dict) and member.get('state') != 'dead'
