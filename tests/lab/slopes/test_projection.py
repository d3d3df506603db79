"""Guard the projection of slopes to a system size.

A slope that is multiplied by the wrong size or rate gives a wrong sum, and the
capacity page may name a slope that is no longer measured.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit
from savorystand.lab.slopes.projection import Projection
from savorystand.lab.slopes.projection import load_sizes
from savorystand.lab.slopes.suite import SLOPES

_PAGE = Path(__file__).parents[3] / 'docs' / 'CAPACITY.md'


def _proportional_slopes(per_unit: float) -> dict[str, Slope]:
    points = [(size, per_unit * size) for size in (1, 100, 1000, 1500)]
    return {name: fit(name, 'unit', 'thing', points) for name in SLOPES}


def test_lines_multiply_slopes_by_target_size() -> None:
    """Each line must use the size and the rate that its cost depends on."""
    size = load_sizes()['target']
    projection = Projection(slopes=_proportional_slopes(2), size=size)
    lines = {line.slopes[0]: line for line in projection.lines()}
    amounts = {name: line.amount for name, line in lines.items()}
    assert amounts['memory-member'] == pytest.approx(2 * 7700)
    assert amounts['memory-connection'] == pytest.approx(2 * 137.5)
    assert amounts['cpu-tables'] == pytest.approx(2 * 560 * 2500 / 86400)
    assert amounts['cpu-entry-call'] == pytest.approx(2 * 1800000 / 7700)
    assert amounts['bytes-digest'] == pytest.approx(2 * 7700 / 10)
    assert amounts['store-edit-rows'] == pytest.approx(2 * 2500 / 86400)
    assert lines['memory-key'].extrapolated
    assert lines['memory-member'].extrapolated
    assert not lines['memory-connection'].extrapolated
    assert projection.total('memory') == pytest.approx(
        sum(line.amount for line in lines.values() if line.group == 'memory')
    )


def test_extrapolated_cost_has_lower_bound() -> None:
    """A cost must be at least 0, and not fall beyond the measured sizes.

    Noise in the points can give a line a negative slope or start.
    """
    slopes = _proportional_slopes(1)
    falling = [(size, 100 - size / 100) for size in (100, 200, 300, 400)]
    idle = 'cpu-membership-idle'
    slopes[idle] = fit(idle, 'us', 'm', falling)
    size = load_sizes()['target']
    target_lines = Projection(slopes=slopes, size=size).lines()
    found = [line for line in target_lines if line.name == idle]
    assert [line.amount for line in found] == [pytest.approx(96)]
    points = [(size, size - 2000) for size in (2000, 3000, 4000, 5000)]
    slopes['cpu-reader-check'] = fit('cpu-reader-check', 'us', 'm', points)
    lines = Projection(slopes=slopes, size=load_sizes()['today']).lines()
    found = [line for line in lines if line.name == 'cpu-reader-check']
    assert [(line.amount, line.extrapolated) for line in found] == [(0, True)]


def test_capacity_page_names_only_reported_slopes() -> None:
    """The capacity page must not name a slope that no command measures."""
    text = _PAGE.read_text()
    section = text.partition('## Slopes')[2].partition('\n## ')[0]
    rows = [row for row in section.splitlines() if row.startswith('| `')]
    named = [re.match(r'\| `([^`]+)`', row) for row in rows]
    names = [match.group(1) for match in named if match]
    assert len(names) > 4
    assert set(names) <= set(SLOPES)
