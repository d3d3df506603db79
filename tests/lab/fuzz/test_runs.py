"""Fuzzer runs with fixed seeds on complete nodes.

Guards against violations that occur only under some interleaving of faults: a
request that runs twice, a false verdict, a leak, or a revision that goes back.
"""

from __future__ import annotations

import pytest

from savorystand.lab.fuzz.rules import Step
from savorystand.lab.fuzz.runs import execute_run
from savorystand.lab.fuzz.runs import fuzz

_STEPS = 960


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_runs_find_no_violation(seed: int) -> None:
    """No run of the fixed seeds violates a guarantee."""
    findings = fuzz(seed, _STEPS)
    assert not findings.violations
    # A run with few starts, answers, refusals or edits would test too little.
    expected = {'starts', 'answered', 'not-run', 'may-have-run', 'edits'}
    assert all(findings.counts[name] > 50 for name in expected - {'edits'})
    assert findings.counts['edits'] > 10


_REDUCED = (
    # The home node of a key was replaced by another at the same address.
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
    # The node of a leaving target was replaced.
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
def test_reduced_runs_find_no_violation(
    seed: str, steps: tuple[Step, ...]
) -> None:
    """Reduced runs that once found a violation no longer find one."""
    assert not execute_run(seed, list(steps)).violations
