"""Formats the burn report as terminal text and as a JSON document."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.reporting.burn import BurnReport
    from savorystand.reporting.burn import PeriodBurn
    from savorystand.reporting.burn import RouteBurn

Document: TypeAlias = dict[str, object]

HEADINGS = (
    'route',
    'class',
    'state',
    'requests',
    'goodput',
    'objective',
    'burn 5m',
    'burn 1h',
    'budget left',
    'p50 ms',
    'p99 ms',
    'retries',
    'hedges',
    'cross-region MB',
)
_BYTES_PER_MB = 1000000
_NO_VALUE = '-'


def printable(text: str) -> str:
    """Return text with escapes in place of unprintable characters.

    A terminal would interpret control characters.
    """
    return ''.join(
        char if char.isprintable() else repr(char)[1:-1] for char in text
    )


def table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with aligned columns, one line for each row."""
    lines = [headings, *rows]
    escaped = [[printable(cell) for cell in line] for line in lines]
    widths = [max(map(len, column)) for column in zip(*escaped)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in escaped
    )


def route_cells(route: RouteBurn) -> list[str]:
    """Return the cells of a route's row, in the order of ``HEADINGS``."""
    megabytes = route.cross_region_bytes / _BYTES_PER_MB
    return [
        route.route,
        route.importance.name.lower(),
        route.state,
        str(route.long.total),
        _format_percent(route.long.goodput),
        _format_percent(route.long.objective),
        _format_rate(route.short.burn_rate),
        _format_rate(route.long.burn_rate),
        _format_percent(route.long.budget_left),
        _format_latency(route.median_ms),
        _format_latency(route.p99_ms),
        str(route.retries),
        str(route.hedges),
        f'{megabytes:.1f}',
    ]


def causes_text(route: RouteBurn) -> str:
    """Return the causes of bad requests of the last hour, largest first."""
    pairs = sorted(route.long.causes.items(), key=lambda pair: -pair[1])
    return ', '.join(f'{cause} {count}' for cause, count in pairs if count)


def coverage_notes(report: BurnReport) -> list[str]:
    """Return sentences on the nodes and routes that the report covers."""
    lines = [f'Nodes counted: {len(report.nodes)}']
    lines.extend(
        printable(f'MISSING {missing.node}: {missing.why}')
        for missing in report.missing
    )
    if report.partial:
        names = ', '.join(map(printable, report.partial))
        lines.append(f'Counted for less than an hour: {names}')
    if report.beyond_routes:
        lines.append(
            f'{report.beyond_routes} calls and attempts of routes beyond the '
            'limit were counted together by class.'
        )
    return lines


def report_text(report: BurnReport) -> str:
    """Return the report as text for a terminal."""
    rows = [route_cells(route) for route in report.routes]
    lines = [table(HEADINGS, rows), '']
    lines.extend(
        printable(f'{route.route}, bad requests: ') + causes_text(route)
        for route in report.routes
        if route.long.bad
    )
    lines.extend(coverage_notes(report))
    return '\n'.join(lines)


def report_document(report: BurnReport) -> Document:
    """Return the report as a JSON object."""
    return {
        'nodes': list(report.nodes),
        'missing': [
            {'node': missing.node, 'why': missing.why}
            for missing in report.missing
        ],
        'partial': list(report.partial),
        'beyond_routes': report.beyond_routes,
        'routes': [_route_document(route) for route in report.routes],
    }


def _route_document(route: RouteBurn) -> Document:
    return {
        'route': route.route,
        'importance': route.importance.name.lower(),
        'state': route.state,
        'objective': route.long.objective,
        'short': _period_document(route.short),
        'long': _period_document(route.long),
        'attempts': route.attempts,
        'retries': route.retries,
        'hedges': route.hedges,
        'cross_region_bytes': route.cross_region_bytes,
        'p50_ms': route.median_ms,
        'p99_ms': route.p99_ms,
        'timeline': [list(point) for point in route.timeline],
    }


def _period_document(period: PeriodBurn) -> Document:
    return {
        'total': period.total,
        'good': period.good,
        'bad': period.bad,
        'caller_errors': period.caller_errors,
        'goodput': period.goodput,
        'burn_rate': period.burn_rate,
        'budget_left': period.budget_left,
        'causes': period.causes,
    }


def _format_percent(fraction: float | None) -> str:
    return _NO_VALUE if fraction is None else format(fraction, '.2%')


def _format_rate(rate: float | None) -> str:
    return _NO_VALUE if rate is None else f'{rate:.2f}'


def _format_latency(ms: float) -> str:
    # A quantile of 0 means that there were no responses.
    return f'{ms:.1f}' if ms else _NO_VALUE
