"""Plots of a report, drawn with matplotlib, which is optional."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

from savorystand.reporting.burn import FAST_BURN_RATE
from savorystand.reporting.burn import SUSTAINABLE_BURN_RATE
from savorystand.reporting.columns import CAUSES
from savorystand.reporting.text import printable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

    from savorystand.reporting.burn import BurnReport
    from savorystand.reporting.burn import RouteBurn

# More routes make a plot unreadable; the table lists all of them.
MAX_PLOTTED_ROUTES = 12
MAX_TIMELINE_ROUTES = 6
_WIDTH_INCHES = 9
_ROW_HEIGHT_INCHES = 0.4
_MARGIN_INCHES = 1.4
_TIMELINE_HEIGHT_INCHES = 3.2
# As a fraction of a row, which holds two bars.
_BAR_HEIGHT = 0.38
_MAX_NAME_CHARS = 32
# Leaves space for the line of a route at 100 %.
_MAX_AXIS_PERCENT = 102


def shorten_name(name: str) -> str:
    """Return a route name, cut to a length that fits beside an axis."""
    shown = printable(name)
    if len(shown) <= _MAX_NAME_CHARS:
        return shown
    return ''.join((shown[: _MAX_NAME_CHARS - 1], '…'))


def draw_figures(report: BurnReport) -> list[Figure]:
    """Return the figures of burn rates, causes and goodput by minute.

    Raises:
        ImportError: matplotlib is not installed.
    """
    from matplotlib import rc_context

    active = [route for route in report.routes if route.long.total]
    # Route names may contain $, which would start a formula.
    with rc_context({'text.parse_math': False, 'font.size': 9}):
        shown = active[:MAX_PLOTTED_ROUTES]
        return [
            _burn_rate_figure(shown),
            _causes_figure(shown),
            _timeline_figure(active[:MAX_TIMELINE_ROUTES]),
        ]


def svg_plots(report: BurnReport) -> list[str]:
    """Return the figures as SVG elements for an HTML page.

    Raises:
        ImportError: matplotlib is not installed.
    """
    return [_svg_element(figure) for figure in draw_figures(report)]


def _svg_element(figure: Figure) -> str:
    from matplotlib import rc_context

    out = io.StringIO()
    no_metadata = dict.fromkeys(('Date', 'Creator', 'Format', 'Type'))
    with rc_context({'text.parse_math': False, 'svg.hashsalt': 'burn'}):
        figure.savefig(out, format='svg', metadata=no_metadata)
    text = out.getvalue()
    # HTML allows no XML declaration or DOCTYPE before an inline element.
    return text[text.index('<svg') :]


def _new_figure(title: str, height: float) -> tuple[Figure, Axes]:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(_WIDTH_INCHES, height), layout='constrained')
    axes = figure.add_subplot()
    axes.set_title(title, loc='left')
    axes.spines[['top', 'right']].set_visible(False)
    return figure, axes


def _new_route_figure(
    title: str, routes: Sequence[RouteBurn]
) -> tuple[Figure, Axes]:
    figure, axes = _new_figure(
        title, _MARGIN_INCHES + _ROW_HEIGHT_INCHES * len(routes)
    )
    axes.set_yticks(
        range(len(routes)),
        [shorten_name(route.route) for route in routes],
    )
    axes.invert_yaxis()
    return figure, axes


def _burn_rate_figure(routes: Sequence[RouteBurn]) -> Figure:
    figure, axes = _new_route_figure(
        'Burn rate (1 spends the budget exactly)', routes
    )
    positions = range(len(routes))
    axes.barh(
        [position - _BAR_HEIGHT / 2 for position in positions],
        [route.long.burn_rate or 0 for route in routes],
        height=_BAR_HEIGHT,
        color='#30638e',
        label='1 h',
    )
    axes.barh(
        [position + _BAR_HEIGHT / 2 for position in positions],
        [route.short.burn_rate or 0 for route in routes],
        height=_BAR_HEIGHT,
        color='#edae49',
        label='5 min',
    )
    axes.axvline(SUSTAINABLE_BURN_RATE, color='#666666', linestyle=':')
    axes.axvline(FAST_BURN_RATE, color='#d1495b', linestyle='--')
    axes.set_xscale('symlog', linthresh=1)
    axes.set_xlim(left=0)
    axes.set_xlabel(
        f'dotted: {SUSTAINABLE_BURN_RATE}, dashed: fast burn {FAST_BURN_RATE}'
    )
    axes.xaxis.set_major_formatter('{x:g}')
    figure.legend(loc='outside right upper')
    return figure


def _causes_figure(routes: Sequence[RouteBurn]) -> Figure:
    figure, axes = _new_route_figure(
        'Bad requests of the last hour by cause', routes
    )
    positions = range(len(routes))
    offsets = [0 for _ in routes]
    for cause, _ in CAUSES:
        counts = [route.long.causes[cause] for route in routes]
        if not any(counts):
            continue
        axes.barh(positions, counts, left=offsets, label=cause)
        offsets = [left + count for left, count in zip(offsets, counts)]
    axes.set_xlabel('requests')
    if any(offsets):
        figure.legend(loc='outside right upper')
    return figure


def _timeline_figure(routes: Sequence[RouteBurn]) -> Figure:
    figure, axes = _new_figure('Goodput by minute', _TIMELINE_HEIGHT_INCHES)
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
            label=shorten_name(route.route),
        )
    axes.set_xlabel('minutes before the report')
    axes.set_ylabel('complete responses within the deadline, %')
    axes.set_ylim(bottom=0, top=_MAX_AXIS_PERCENT)
    if routes:
        figure.legend(loc='outside right upper')
    return figure
