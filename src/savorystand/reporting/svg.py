"""Plots of a report as plain SVG bars and lines, without matplotlib."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from savorystand.reporting.burn import FAST_BURN_RATE
from savorystand.reporting.columns import CAUSES
from savorystand.reporting.plots import MAX_PLOTTED_ROUTES
from savorystand.reporting.plots import shorten_name

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.reporting.burn import BurnReport
    from savorystand.reporting.burn import RouteBurn

_WIDTH_PX = 1020
_LABEL_WIDTH_PX = 240
_ROW_HEIGHT_PX = 22
_BAR_HEIGHT_PX = 14
_LINE_STYLE = 'fill="none" stroke="#30638e" stroke-width="2"'
# Leaves space for the number to the right of the longest bar.
_MAX_BAR_WIDTH_PX = 500
_MINUTE_WIDTH_PX = 8
_GAP_PX = 4
_LEGEND_ENTRY_WIDTH_PX = 110
_TIMELINE_ROW_HEIGHT_PX = 40
_TIMELINE_HEIGHT_PX = 32
_FAST_BURN_COLOUR = '#d1495b'
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
    """Return plots of burn rates, causes and goodput as SVG elements."""
    active = [route for route in report.routes if route.long.total]
    routes = active[:MAX_PLOTTED_ROUTES]
    max_rate = max((route.long.burn_rate or 0 for route in routes), default=0)
    max_bad = max((route.long.bad for route in routes), default=0)
    rates = [_burn_rate_row(route, max_rate or 1) for route in routes]
    causes = [_causes_row(route, max_bad or 1) for route in routes]
    causes.append(_legend_row())
    lines = [_timeline_row(route) for route in routes]
    return [
        _plot_element('Burn rate, 1 h', _ROW_HEIGHT_PX, rates),
        _plot_element('Bad requests by cause, 1 h', _ROW_HEIGHT_PX, causes),
        _plot_element(
            'Goodput by minute, 1 h, from 0 to 100 %',
            _TIMELINE_ROW_HEIGHT_PX,
            lines,
        ),
    ]


def _plot_element(title: str, row_height: int, rows: Sequence[str]) -> str:
    height = row_height * (len(rows) + 1)
    tops = range(row_height, height, row_height)
    placed = ''.join(
        f'<g transform="translate(0 {top})">{row}</g>'
        for top, row in zip(tops, rows)
    )
    heading = _text_element(0, _BAR_HEIGHT_PX, title)
    size = f'width="{_WIDTH_PX}" height="{height}"'
    box = f'viewBox="0 0 {_WIDTH_PX} {height}"'
    return f'<svg {box} {size} font-size="12">{heading}{placed}</svg>'


def _burn_rate_row(route: RouteBurn, max_rate: float) -> str:
    rate = route.long.burn_rate or 0
    colour = _FAST_BURN_COLOUR if rate >= FAST_BURN_RATE else _COLOURS[0]
    width = _MAX_BAR_WIDTH_PX * rate / max_rate
    rate_label = _text_element(
        _LABEL_WIDTH_PX + width + _GAP_PX, _BAR_HEIGHT_PX, f'{rate:.2f}'
    )
    name = _text_element(0, _BAR_HEIGHT_PX, shorten_name(route.route))
    return (
        name
        + _rectangle_element(_LABEL_WIDTH_PX, width, colour, 'burn rate')
        + rate_label
    )


def _causes_row(route: RouteBurn, max_bad: float) -> str:
    bars = [_text_element(0, _BAR_HEIGHT_PX, shorten_name(route.route))]
    start: float = _LABEL_WIDTH_PX
    for (cause, count), colour in zip(route.long.causes.items(), _COLOURS):
        width = _MAX_BAR_WIDTH_PX * count / max_bad
        bars.append(
            _rectangle_element(start, width, colour, f'{cause}: {count}')
        )
        start += width
    return ''.join(bars)


def _legend_row() -> str:
    parts = []
    left: float = _LABEL_WIDTH_PX
    for (cause, _), colour in zip(CAUSES, _COLOURS):
        parts.append(_rectangle_element(left, _BAR_HEIGHT_PX, colour, cause))
        parts.append(
            _text_element(left + _ROW_HEIGHT_PX, _BAR_HEIGHT_PX, cause)
        )
        left += _LEGEND_ENTRY_WIDTH_PX
    return ''.join(parts)


def _timeline_row(route: RouteBurn) -> str:
    newest = _LABEL_WIDTH_PX + _MINUTE_WIDTH_PX * len(route.timeline)
    points = (
        (
            newest - _MINUTE_WIDTH_PX * age,
            _TIMELINE_HEIGHT_PX * (1 - point[1] / point[0]),
        )
        for age, point in enumerate(route.timeline)
        if point[0]
    )
    coordinates = ' '.join(f'{left},{top:.1f}' for left, top in points)
    name = _text_element(0, _BAR_HEIGHT_PX, shorten_name(route.route))
    return f'{name}<polyline points="{coordinates}" {_LINE_STYLE}/>'


def _text_element(left: float, top: float, text: str) -> str:
    return f'<text x="{left:.1f}" y="{top:.1f}">{escape(text)}</text>'


def _rectangle_element(
    left: float, width: float, colour: str, title: str
) -> str:
    size = f'width="{width:.1f}" height="{_BAR_HEIGHT_PX}"'
    hint = f'<title>{escape(title)}</title>'
    return f'<rect x="{left:.1f}" y="2" {size} fill="{colour}">{hint}</rect>'
