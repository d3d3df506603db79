"""Failures: a promise breaks under some interleaving of faults."""

from __future__ import annotations

import pytest

from savorystand.lab.fuzz.rules import Step
from savorystand.lab.fuzz.runs import execute_run
from savorystand.lab.fuzz.runs import fuzz

_STEPS = 960


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_whole_nodes_keep_the_promises(seed: int) -> None:
    """No interleaving of the fixed seeds may break an invariant."""
    findings = fuzz(seed, _STEPS)
    assert not findings.violations
    # Without starts, answers and refusals the run would show nothing.
    expected = {'starts', 'answered', 'not-run', 'may-have-run', 'edits'}
    assert all(findings.counts[name] > 50 for name in expected - {'edits'})
    assert findings.counts['edits'] > 10


_REDUCED = (
    # A key whose home was replaced at its address.
    (
        '1 47',
        (
            Step(rule='send', seed=315461958),
            Step(rule='crash node', seed=716306489),
            Step(rule='start nodes', seed=147082506),
            Step(rule='wait', seed=795743627),
            Step(rule='retry', seed=533464789),
        ),
    ),
    # A leaving target whose node was replaced.
    (
        '3 44',
        (
            Step(rule='pause', seed=443673274),
            Step(rule='crash node', seed=541007998),
            Step(rule='leave', seed=333758730),
            Step(rule='wait', seed=304163027),
            Step(rule='send', seed=969592822),
        ),
    ),
)


@pytest.mark.parametrize(('seed', 'steps'), _REDUCED)
def test_reduced_runs_keep_the_promises(
    seed: str, steps: tuple[Step, ...]
) -> None:
    """What broke a promise once must not break it again."""
    assert not execute_run(seed, list(steps)).violations
