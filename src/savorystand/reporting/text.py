"""The report as terminal text and as JSON types."""

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
_NOTHING = '-'


def printable(text: str) -> str:
    """Return text without characters that a terminal would act on."""
    return ''.join(
        char if char.isprintable() else repr(char)[1:-1] for char in text
    )


def table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows in aligned columns, one line each."""
    lines = [headings, *rows]
    clean = [[printable(cell) for cell in line] for line in lines]
    widths = [max(map(len, column)) for column in zip(*clean)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in clean
    )


def cells(route: RouteBurn) -> list[str]:
    """Return one row of the report, in the order of ``HEADINGS``."""
    megabytes = route.cross_region_bytes / _BYTES_PER_MB
    return [
        route.route,
        route.importance.name.lower(),
        route.state,
        str(route.long.total),
        _percent(route.long.goodput),
        _percent(route.long.objective),
        _rate(route.short.burn_rate),
        _rate(route.long.burn_rate),
        _percent(route.long.budget_left),
        _latency(route.median_ms),
        _latency(route.p99_ms),
        str(route.retries),
        str(route.hedges),
        f'{megabytes:.1f}',
    ]


def causes(route: RouteBurn) -> str:
    """Return why requests of the last hour were bad, largest first."""
    parts = sorted(route.long.causes.items(), key=lambda part: -part[1])
    return ', '.join(f'{cause} {count}' for cause, count in parts if count)


def notes(report: BurnReport) -> list[str]:
    """Return what the report does not cover, one sentence each."""
    lines = [f'Nodes counted: {len(report.nodes)}']
    lines.extend(
        printable(f'MISSING {gap.node}: {gap.why}') for gap in report.missing
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
    """Return the report for a terminal."""
    rows = [cells(route) for route in report.routes]
    lines = [table(HEADINGS, rows), '']
    lines.extend(
        printable(f'{route.route}, bad requests: ') + causes(route)
        for route in report.routes
        if route.long.bad
    )
    lines.extend(notes(report))
    return '\n'.join(lines)


def report_document(report: BurnReport) -> Document:
    """Return the report as JSON types."""
    return {
        'nodes': list(report.nodes),
        'missing': [
            {'node': gap.node, 'why': gap.why} for gap in report.missing
        ],
        'partial': list(report.partial),
        'beyond_routes': report.beyond_routes,
        'routes': [_route(route) for route in report.routes],
    }


def _route(route: RouteBurn) -> Document:
    return {
        'route': route.route,
        'importance': route.importance.name.lower(),
        'state': route.state,
        'objective': route.long.objective,
        'short': _period(route.short),
        'long': _period(route.long),
        'attempts': route.attempts,
        'retries': route.retries,
        'hedges': route.hedges,
        'cross_region_bytes': route.cross_region_bytes,
        'p50_ms': route.median_ms,
        'p99_ms': route.p99_ms,
        'timeline': [list(point) for point in route.timeline],
    }


def _period(period: PeriodBurn) -> Document:
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


def _percent(share: float | None) -> str:
    return _NOTHING if share is None else format(share, '.2%')


def _rate(rate: float | None) -> str:
    return _NOTHING if rate is None else f'{rate:.2f}'


def _latency(ms: float) -> str:
    # Zero is the quantile of no answers at all.
    return f'{ms:.1f}' if ms else _NOTHING
