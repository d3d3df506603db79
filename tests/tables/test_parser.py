"""Guards against faulty tables that are accepted or crash the check.

Each fault must also be reported with its file, line, row and field.
"""

from __future__ import annotations

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.tables.difference import describe
from savorystand.tables.difference import difference
from savorystand.tables.document import TablesDocument
from savorystand.tables.faults import TablesError
from savorystand.tables.parser import check_tables
from savorystand.tables.parser import parse_tables
from savorystand.tables.tables import empty_tables

_ROUTES = """\
[[route]]
name = "confirm"
match = "POST /refill/confirm"
pool = "refill"
importance = "critical"
idempotent = false

[[route]]  # bins
name = "bins"
match = "GET /"
pool = "refill"
importance = "low"
idempotent = true
"""
_POOLS = '[[pool]]\nname = "refill"\nslots = 90\nconnections = 650\n'

_LONG_NUMBER = '= 9'.ljust(5000, '9')
_LONG_NAME = '"x"\nsl'.replace('x', 'x' * 300)
_DEEP_NESTING = '[[pool]]\na='.ljust(5000, '[')
_LONG_TEXT = '\n[[pool]]'.rjust(200000, '#')

# Each case has a text, its replacement and the start of the expected fault.
_CASES = (
    ('"refill"\nimp', '"other"\nimp', 'routes.toml:4: row 1, field pool'),
    ('"bins"', '"confirm"', 'routes.toml:9: row 2, field name'),
    ('GET /', 'POST /refill/confirm', 'routes.toml:10: row 2, field match'),
    ('GET /', 'get /', 'routes.toml:10: row 2, field match'),
    ('"low"', '"lowest"', 'routes.toml:12: row 2, field importance'),
    ('= true', '= 1', 'routes.toml:13: row 2, field idempotent'),
    ('pool =', 'pol =', 'routes.toml:4: row 1, field pol:'),
    ('[[route]]  #', '[[route] #', 'routes.toml:8:'),
    ('[[route]]', '[[rout]]', 'routes.toml:1:'),
    ('= 90', '= 0', 'pools.toml:3: row 1, field slots: zero'),
    ('= 90', '= -4', 'pools.toml:3: row 1, field slots: zero or negative'),
    ('= 90', '= true', 'pools.toml:3: row 1, field slots'),
    ('= 90', _LONG_NUMBER, 'pools.toml:1:'),
    ('= 650', '= 1e3', 'pools.toml:4: row 1, field connections'),
    ('\nslots = 90', '', 'pools.toml:1: row 1, field slots: missing'),
    ('"refill"\nsl', _LONG_NAME, 'pools.toml:2: row 1, field name'),
    ('[[pool]]', '[pool]', 'pools.toml:1: pool is not a list'),
    ('[[pool]]', _DEEP_NESTING, 'pools.toml:1:'),
    ('[[pool]]', _LONG_TEXT, 'pools.toml:1:'),
    ('[[pool]]', '[[pool]]\n' * 5000, 'pools.toml:4097:'),
)


def _document(routes: str, pools: str) -> TablesDocument:
    return TablesDocument(
        revision=3,
        change_id='c',
        routes=routes,
        pools=pools,
    )


@pytest.mark.parametrize(('old', 'new', 'expected'), _CASES)
def test_faults_are_located(old: str, new: str, expected: str) -> None:
    """Each check must report file, line, row and field of a fault."""
    document = _document(
        _ROUTES.replace(old, new),
        _POOLS.replace(old, new),
    )
    with pytest.raises(TablesError):
        parse_tables(document)
    texts = [fault.text() for fault in check_tables(document).faults]
    assert any(text.startswith(expected) for text in texts), texts
    assert all('; ' in text for text in texts)


def test_valid_tables_and_difference() -> None:
    """Valid rows must be parsed completely; equal rows are no change."""
    tables = parse_tables(_document(_ROUTES, _POOLS))
    assert tables.match('POST', '/refill/confirm/5').name == 'confirm'
    assert tables.match('GET', '/x').name == 'bins'
    assert not difference(tables, tables)
    changed = parse_tables(_document(_ROUTES, _POOLS.replace('90', '91')))
    changes = difference(tables, changed)
    assert len(changes) == 1
    assert describe(changes[0]).endswith('(slots)')
    assert len(difference(empty_tables(), tables)) == 3


_FRAGMENTS = st.sampled_from(
    re.findall(r'\w+|\W', _ROUTES)
    + ['"""', "'''", '\\', '\x00', '\ud800', '[[pool]]', '{', '}', '.', '-1']
)
_TEXTS = st.one_of(st.text(), st.lists(_FRAGMENTS).map(''.join))


def test_valid_tables_are_not_scanned_for_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Scanning a valid text would make a change block calls twice as long."""
    monkeypatch.delattr('savorystand.toml.reader.scan')
    assert parse_tables(_document(_ROUTES, _POOLS)).route('bins')


@given(
    start=st.integers(0, len(_ROUTES)),
    end=st.integers(0, len(_ROUTES)),
    patch=_TEXTS,
    pools=_TEXTS,
)
def test_faults_of_any_text_have_a_line(
    start: int, end: int, patch: str, pools: str
) -> None:
    """No text may crash the check, and each fault must have a line."""
    routes = _ROUTES[:start] + patch + _ROUTES[end:]
    for document in (_document(routes, _POOLS), _document(_ROUTES, pools)):
        for fault in check_tables(document).faults:
            text = document.routes
            if fault.source == 'pools.toml':
                text = document.pools
            assert 1 <= fault.line <= text.count('\n') + 1
            assert fault.problem
            assert fault.remedy
            assert fault.text().isprintable()
