"""Runs short soaks of real node processes.

Long ones are started by hand; docs/measurements.md lists their seeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.lab.soak.run import Soak

if TYPE_CHECKING:
    from pathlib import Path

_SECONDS = 15
_NODES = 6


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_under_faults_from_outside(
    seed: int, tmp_path: Path
) -> None:
    """No fault from outside may break a promise to callers or targets."""
    soak = Soak(seed=seed, seconds=_SECONDS, nodes=_NODES, directory=tmp_path)
    anyio.run(soak.run)
    assert not soak.report.violations
    assert soak.report.counts['status 200']
