"""Failures: a wrong burn rate, and a silent node that counts as zero."""

from __future__ import annotations

import json
from html.parser import HTMLParser

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.call import Importance
from savorystand.reporting import svg
from savorystand.reporting.burn import FAST_BURN
from savorystand.reporting.burn import Missing
from savorystand.reporting.burn import build_report
from savorystand.reporting.burn import objective_of
from savorystand.reporting.columns import PARTS
from savorystand.reporting.columns import Column
from savorystand.reporting.documents import ReportFormatError
from savorystand.reporting.documents import parse_report
from savorystand.reporting.html import report_page
from savorystand.reporting.text import report_document
from savorystand.reporting.text import report_text
from tests.reporting.builders import node_counts

_COUNTS = st.fixed_dictionaries(
    {part: st.integers(0, 1000) for part in PARTS}
).map(lambda parts: {**parts, Column.FRESH: sum(parts.values())})
_HOSTILE = '<script src="http://x/">&$\x1b[2J\n'


class _Elements(HTMLParser):
    """Rejects elements and attributes that run or load anything."""

    def handle_starttag(
        self, tag: str, attrs: list[tuple[str, str | None]]
    ) -> None:
        assert tag not in {'script', 'link', 'iframe', 'img', 'object'}
        for name, text in attrs:
            if name.endswith(('src', 'href')):
                assert (text or '').startswith('#')
            assert not name.startswith('on')


@given(
    counts=st.lists(_COUNTS, min_size=1, max_size=3),
    importance=st.sampled_from(Importance),
)
def test_burn_rate_equals_direct_computation(
    counts: list[dict[Column, int]], importance: Importance
) -> None:
    """Compares with the definition: bad share over allowed share."""
    nodes = [
        node_counts(f'n{place}', 'lookup', one, importance=importance)
        for place, one in enumerate(counts)
    ]
    route = build_report([*nodes, nodes[0]]).routes[0]
    good = sum(one[Column.ANSWERED] for one in counts)
    asked = sum(one[Column.FRESH] - one[Column.CALLER_ERROR] for one in counts)
    assert route.long.bad == asked - good
    assert sum(route.long.causes.values()) == route.long.bad
    assert route.short.burn_rate is None
    if asked:
        allowed = 1 - objective_of(importance)
        assert route.long.burn_rate == pytest.approx(
            (asked - good) / asked / allowed
        )


def test_fast_burn_needs_both_periods() -> None:
    """An incident that is over must not be shown as burning."""
    bad = {Column.FRESH: 100, Column.ANSWERED: 80, Column.NOT_RUN_SHED: 20}
    fine = {Column.FRESH: 100, Column.ANSWERED: 100}
    both = build_report([node_counts('a', 'r', bad, short=bad)]).routes[0]
    over = build_report([node_counts('a', 'r', bad, short=fine)]).routes[0]
    assert both.long.burn_rate == over.long.burn_rate
    assert both.long.burn_rate is not None
    assert both.long.burn_rate > FAST_BURN
    assert (both.state, over.state) == ('fast burn', 'over budget')


def test_inconsistent_counters_are_rejected() -> None:
    """Parts that do not sum to the total would hide lost calls."""
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
    for wrong in (document, None, [], {'node': 'a'}):
        with pytest.raises(ReportFormatError):
            parse_report(wrong)


def test_output_escapes_names_and_names_missing_nodes() -> None:
    """A hostile name must not act in a browser or a terminal."""
    bad = {Column.FRESH: 10, Column.ANSWERED: 9, Column.LATE: 1}
    report = build_report(
        [node_counts('n1', _HOSTILE, bad, short=bad)],
        [Missing(node=f'n2{_HOSTILE}', why=_HOSTILE)],
    )
    page = report_page(report, title=_HOSTILE)
    fallback = ''.join(svg.svg_plots(report))
    for text in (page, fallback):
        assert '&lt;script' in text
        _Elements().feed(text)
    assert 'MISSING n2' in page
    text = report_text(report)
    assert 'MISSING n2' in text
    assert '\x1b' not in text
    document = json.loads(json.dumps(report_document(report)))
    assert [gap['node'] for gap in document['missing']] == [f'n2{_HOSTILE}']
    assert document['nodes'] == ['n1']
