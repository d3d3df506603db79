"""Formats the burn report as a self-contained HTML page."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from savorystand.reporting import plots
from savorystand.reporting import svg
from savorystand.reporting.text import HEADINGS
from savorystand.reporting.text import causes_text
from savorystand.reporting.text import coverage_notes
from savorystand.reporting.text import printable
from savorystand.reporting.text import route_cells

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.reporting.burn import BurnReport
    from savorystand.reporting.burn import RouteBurn

_STYLE = """
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 0.7em; border-bottom: 1px solid #ddd; }
th { text-align: left; }
td { text-align: right; white-space: nowrap; }
td:nth-child(-n+3) { text-align: left; }
tr.fast-burn { background: #f8d7da; }
tr.over-budget { background: #fff3cd; }
.missing { color: #b00020; font-weight: bold; }
svg { max-width: 100%; height: auto; display: block; margin: 1.5em 0; }
"""


def report_page(report: BurnReport, *, title: str) -> str:
    """Return the page, which loads no other resources."""
    heading = escape(title)
    rows = _table_element(report)
    plotted = ''.join(_plot_elements(report))
    lines = ''.join(_paragraph(line) for line in coverage_notes(report))
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>{heading}</title><style>{_STYLE}</style></head>'
        f'<body><h1>{heading}</h1>{lines}{rows}{plotted}</body></html>\n'
    )


def _plot_elements(report: BurnReport) -> Sequence[str]:
    try:
        return plots.svg_plots(report)
    except ImportError:
        return svg.svg_plots(report)


def _paragraph(line: str) -> str:
    kind = 'missing' if line.startswith('MISSING') else 'note'
    return f'<p class="{kind}">{escape(line)}</p>'


def _table_element(report: BurnReport) -> str:
    names = (*HEADINGS, 'bad requests by cause')
    heads = ''.join(f'<th>{escape(name)}</th>' for name in names)
    rows = ''.join(_row_element(route) for route in report.routes)
    return (
        f'<table><thead><tr>{heads}</tr></thead><tbody>{rows}</tbody></table>'
    )


def _row_element(route: RouteBurn) -> str:
    kind = route.state.replace(' ', '-')
    texts = (*route_cells(route), causes_text(route))
    columns = ''.join(f'<td>{escape(printable(text))}</td>' for text in texts)
    return f'<tr class="{kind}">{columns}</tr>'
