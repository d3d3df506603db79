"""Plots of a report, drawn by matplotlib where it is installed."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

from savorystand.reporting.burn import EVEN_BURN
from savorystand.reporting.burn import FAST_BURN
from savorystand.reporting.columns import CAUSES
from savorystand.reporting.text import printable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

    from savorystand.reporting.burn import BurnReport
    from savorystand.reporting.burn import RouteBurn

# More routes than this make a plot unreadable; the table holds all.
MAX_ROUTES = 12
MAX_LINES = 6
_WIDTH = 9
_ROW_HEIGHT = 0.4
_MARGIN = 1.4
_LINE_HEIGHT = 3.2
_THICKNESS = 0.38
_NAME_LENGTH = 32
_FULL_AXIS = 102


def short_name(name: str) -> str:
    """Return a route name that fits beside an axis."""
    shown = printable(name)
    if len(shown) <= _NAME_LENGTH:
        return shown
    return ''.join((shown[: _NAME_LENGTH - 1], '…'))


def draw(report: BurnReport) -> list[Figure]:
    """Return burn rates, causes and goodput by time.

    Raises:
        ImportError: matplotlib is not installed.
    """
    from matplotlib import rc_context

    busy = [route for route in report.routes if route.long.total]
    # Route names are text, never formulas.
    with rc_context({'text.parse_math': False, 'font.size': 9}):
        shown = busy[:MAX_ROUTES]
        return [
            _burn_rates(shown),
            _causes(shown),
            _timeline(busy[:MAX_LINES]),
        ]


def svg_plots(report: BurnReport) -> list[str]:
    """Return the plots as SVG elements for an HTML page.

    Raises:
        ImportError: matplotlib is not installed.
    """
    return [_svg(figure) for figure in draw(report)]


def _svg(figure: Figure) -> str:
    from matplotlib import rc_context

    out = io.StringIO()
    empty = dict.fromkeys(('Date', 'Creator', 'Format', 'Type'))
    with rc_context({'text.parse_math': False, 'svg.hashsalt': 'burn'}):
        figure.savefig(out, format='svg', metadata=empty)
    text = out.getvalue()
    # An HTML page takes the element without XML declaration and DOCTYPE.
    return text[text.index('<svg') :]


def _figure(title: str, height: float) -> tuple[Figure, Axes]:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(_WIDTH, height), layout='constrained')
    axes = figure.add_subplot()
    axes.set_title(title, loc='left')
    axes.spines[['top', 'right']].set_visible(False)
    return figure, axes


def _rows(title: str, routes: Sequence[RouteBurn]) -> tuple[Figure, Axes]:
    figure, axes = _figure(title, _MARGIN + _ROW_HEIGHT * len(routes))
    axes.set_yticks(
        range(len(routes)),
        [short_name(route.route) for route in routes],
    )
    axes.invert_yaxis()
    return figure, axes


def _burn_rates(routes: Sequence[RouteBurn]) -> Figure:
    figure, axes = _rows('Burn rate (1 spends the budget exactly)', routes)
    places = range(len(routes))
    axes.barh(
        [place - _THICKNESS / 2 for place in places],
        [route.long.burn_rate or 0 for route in routes],
        height=_THICKNESS,
        color='#30638e',
        label='1 h',
    )
    axes.barh(
        [place + _THICKNESS / 2 for place in places],
        [route.short.burn_rate or 0 for route in routes],
        height=_THICKNESS,
        color='#edae49',
        label='5 min',
    )
    axes.axvline(EVEN_BURN, color='#666666', linestyle=':')
    axes.axvline(FAST_BURN, color='#d1495b', linestyle='--')
    axes.set_xscale('symlog', linthresh=1)
    axes.set_xlim(left=0)
    axes.set_xlabel(f'dotted: {EVEN_BURN}, dashed: fast burn {FAST_BURN}')
    axes.xaxis.set_major_formatter('{x:g}')
    figure.legend(loc='outside right upper')
    return figure


def _causes(routes: Sequence[RouteBurn]) -> Figure:
    figure, axes = _rows('Bad requests of the last hour by cause', routes)
    places = range(len(routes))
    start = [0 for _ in routes]
    for cause, _ in CAUSES:
        counts = [route.long.causes[cause] for route in routes]
        if not any(counts):
            continue
        axes.barh(places, counts, left=start, label=cause)
        start = [left + count for left, count in zip(start, counts)]
    axes.set_xlabel('requests')
    if any(start):
        figure.legend(loc='outside right upper')
    return figure


def _timeline(routes: Sequence[RouteBurn]) -> Figure:
    figure, axes = _figure('Goodput by minute', _LINE_HEIGHT)
    for route in routes:
        points = [
            (-age, 100 * good / counted)
            for age, (counted, good) in enumerate(route.timeline)
            if counted
        ]
        axes.plot(
            [point[0] for point in points],
            [point[1] for point in points],
            marker='.',
            label=short_name(route.route),
        )
    axes.set_xlabel('minutes before the report')
    axes.set_ylabel('whole answers in time, %')
    axes.set_ylim(bottom=0, top=_FULL_AXIS)
    if routes:
        figure.legend(loc='outside right upper')
    return figure
