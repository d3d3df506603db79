"""Plots without matplotlib: plain bars and lines in SVG."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from savorystand.reporting.burn import FAST_BURN
from savorystand.reporting.columns import CAUSES
from savorystand.reporting.plots import MAX_ROUTES
from savorystand.reporting.plots import short_name

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.reporting.burn import BurnReport
    from savorystand.reporting.burn import RouteBurn

_WIDTH = 1020
_LABEL = 240
_ROW = 22
_THICKNESS = 14
_LINE_STYLE = 'fill="none" stroke="#30638e" stroke-width="2"'
# Space for the longest bar, with its figure beside it.
_BAR_SPACE = 500
_MINUTE = 8
_GAP = 4
_LEGEND_SPACE = 110
_LINE_HEIGHT = 40
_LINE_SPACE = 32
_FAST_COLOUR = '#d1495b'
_COLOURS = (
    '#30638e',
    '#edae49',
    '#d1495b',
    '#00798c',
    '#6a4c93',
    '#8d8d8d',
    '#003d5b',
)


def svg_plots(report: BurnReport) -> list[str]:
    """Return burn rates, causes and goodput by time as SVG elements."""
    busy = [route for route in report.routes if route.long.total]
    routes = busy[:MAX_ROUTES]
    highest = max((route.long.burn_rate or 0 for route in routes), default=0)
    most = max((route.long.bad for route in routes), default=0)
    rates = [_rate(route, highest or 1) for route in routes]
    causes = [_causes(route, most or 1) for route in routes]
    causes.append(_legend())
    lines = [_line(route) for route in routes]
    return [
        _plot('Burn rate, 1 h', _ROW, rates),
        _plot('Bad requests by cause, 1 h', _ROW, causes),
        _plot('Goodput by minute, 1 h, from 0 to 100 %', _LINE_HEIGHT, lines),
    ]


def _plot(title: str, row_height: int, rows: Sequence[str]) -> str:
    height = row_height * (len(rows) + 1)
    tops = range(row_height, height, row_height)
    placed = ''.join(
        f'<g transform="translate(0 {top})">{row}</g>'
        for top, row in zip(tops, rows)
    )
    heading = _text(0, _THICKNESS, title)
    size = f'width="{_WIDTH}" height="{height}"'
    box = f'viewBox="0 0 {_WIDTH} {height}"'
    return f'<svg {box} {size} font-size="12">{heading}{placed}</svg>'


def _rate(route: RouteBurn, highest: float) -> str:
    rate = route.long.burn_rate or 0
    colour = _FAST_COLOUR if rate >= FAST_BURN else _COLOURS[0]
    width = _BAR_SPACE * rate / highest
    figure = _text(_LABEL + width + _GAP, _THICKNESS, f'{rate:.2f}')
    name = _text(0, _THICKNESS, short_name(route.route))
    return name + _rectangle(_LABEL, width, colour, 'burn rate') + figure


def _causes(route: RouteBurn, most: float) -> str:
    bars = [_text(0, _THICKNESS, short_name(route.route))]
    start: float = _LABEL
    for (cause, count), colour in zip(route.long.causes.items(), _COLOURS):
        width = _BAR_SPACE * count / most
        bars.append(_rectangle(start, width, colour, f'{cause}: {count}'))
        start += width
    return ''.join(bars)


def _legend() -> str:
    parts = []
    left: float = _LABEL
    for (cause, _), colour in zip(CAUSES, _COLOURS):
        parts.append(_rectangle(left, _THICKNESS, colour, cause))
        parts.append(_text(left + _ROW, _THICKNESS, cause))
        left += _LEGEND_SPACE
    return ''.join(parts)


def _line(route: RouteBurn) -> str:
    newest = _LABEL + _MINUTE * len(route.timeline)
    points = (
        (newest - _MINUTE * age, _LINE_SPACE * (1 - point[1] / point[0]))
        for age, point in enumerate(route.timeline)
        if point[0]
    )
    places = ' '.join(f'{left},{top:.1f}' for left, top in points)
    name = _text(0, _THICKNESS, short_name(route.route))
    return f'{name}<polyline points="{places}" {_LINE_STYLE}/>'


def _text(left: float, top: float, text: str) -> str:
    return f'<text x="{left:.1f}" y="{top:.1f}">{escape(text)}</text>'


def _rectangle(left: float, width: float, colour: str, title: str) -> str:
    size = f'width="{width:.1f}" height="{_THICKNESS}"'
    hint = f'<title>{escape(title)}</title>'
    return f'<rect x="{left:.1f}" y="2" {size} fill="{colour}">{hint}</rect>'
