"""Tests the burn report and its output formats.

They guard against wrong burn rates, against nodes without a response that are
left out without notice, and against route names that act as markup or terminal
controls.
"""

from __future__ import annotations

import json
from html.parser import HTMLParser

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.call import Importance
from savorystand.reporting import svg
from savorystand.reporting.burn import FAST_BURN_RATE
from savorystand.reporting.burn import MissingNode
from savorystand.reporting.burn import build_report
from savorystand.reporting.burn import objective_of
from savorystand.reporting.columns import OUTCOME_COLUMNS
from savorystand.reporting.columns import Column
from savorystand.reporting.documents import ReportFormatError
from savorystand.reporting.documents import parse_report
from savorystand.reporting.html import report_page
from savorystand.reporting.text import report_document
from savorystand.reporting.text import report_text
from tests.reporting.builders import node_counts

_OUTCOME_COUNTS = st.fixed_dictionaries(
    {column: st.integers(0, 1000) for column in OUTCOME_COLUMNS}
).map(lambda outcomes: {**outcomes, Column.FRESH: sum(outcomes.values())})
_HOSTILE_TEXT = '<script src="http://x/">&$\x1b[2J\n'


class _SafeMarkupChecker(HTMLParser):
    """Fails on elements and attributes that run code or load resources."""

    def handle_starttag(
        self, tag: str, attrs: list[tuple[str, str | None]]
    ) -> None:
        assert tag not in {'script', 'link', 'iframe', 'img', 'object'}
        for name, text in attrs:
            if name.endswith(('src', 'href')):
                assert (text or '').startswith('#')
            assert not name.startswith('on')


@given(
    counts=st.lists(_OUTCOME_COUNTS, min_size=1, max_size=3),
    importance=st.sampled_from(Importance),
)
def test_burn_rate_is_bad_fraction_over_allowed_fraction(
    counts: list[dict[Column, int]], importance: Importance
) -> None:
    """The rate must match its definition; a repeated node counts once."""
    nodes = [
        node_counts(f'n{index}', 'lookup', node, importance=importance)
        for index, node in enumerate(counts)
    ]
    route = build_report([*nodes, nodes[0]]).routes[0]
    good = sum(node[Column.ANSWERED] for node in counts)
    counted = sum(
        node[Column.FRESH] - node[Column.CALLER_ERROR] for node in counts
    )
    assert route.long.bad == counted - good
    assert sum(route.long.causes.values()) == route.long.bad
    assert route.short.burn_rate is None
    if counted:
        allowed = 1 - objective_of(importance)
        assert route.long.burn_rate == pytest.approx(
            (counted - good) / counted / allowed
        )


def test_fast_burn_needs_both_periods() -> None:
    """An incident that has ended must not be reported as a fast burn."""
    bad = {Column.FRESH: 100, Column.ANSWERED: 80, Column.NOT_RUN_SHED: 20}
    fine = {Column.FRESH: 100, Column.ANSWERED: 100}
    both = build_report([node_counts('a', 'r', bad, short=bad)]).routes[0]
    ended = build_report([node_counts('a', 'r', bad, short=fine)]).routes[0]
    assert both.long.burn_rate == ended.long.burn_rate
    assert both.long.burn_rate is not None
    assert both.long.burn_rate > FAST_BURN_RATE
    assert (both.state, ended.state) == ('fast burn', 'over budget')


def test_inconsistent_counters_are_rejected() -> None:
    """Outcomes that do not sum to the number of calls would hide calls."""
    period = {
        'counts': {'fresh': 3, 'answered': 2},
        'latency': [],
        'cross_region_bytes': 0,
    }
    route = {
        'route': 'r',
        'importance': 'high',
        'short': period,
        'long': period,
        'timeline': [],
    }
    document = {
        'node': 'a',
        'covered_ms': 1,
        'calls_beyond_routes': 0,
        'routes': [route],
    }
    for invalid in (document, None, [], {'node': 'a'}):
        with pytest.raises(ReportFormatError):
            parse_report(invalid)


def test_output_escapes_names_and_lists_missing_nodes() -> None:
    """A hostile name must not be interpreted by a browser or terminal."""
    bad = {Column.FRESH: 10, Column.ANSWERED: 9, Column.LATE: 1}
    report = build_report(
        [node_counts('n1', _HOSTILE_TEXT, bad, short=bad)],
        [MissingNode(node=f'n2{_HOSTILE_TEXT}', why=_HOSTILE_TEXT)],
    )
    page = report_page(report, title=_HOSTILE_TEXT)
    fallback = ''.join(svg.svg_plots(report))
    for text in (page, fallback):
        assert '&lt;script' in text
        _SafeMarkupChecker().feed(text)
    assert 'MISSING n2' in page
    text = report_text(report)
    assert 'MISSING n2' in text
    assert '\x1b' not in text
    document = json.loads(json.dumps(report_document(report)))
    assert [missing['node'] for missing in document['missing']] == [
        f'n2{_HOSTILE_TEXT}'
    ]
    assert document['nodes'] == ['n1']
