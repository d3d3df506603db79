"""Guards against faults of the lab that look like faults of a node."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.lab.children import Child

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.anyio


@pytest.fixture
def _hangup_is_not_ignored() -> Iterator[None]:
    # Children inherit that a signal is ignored, as by a test run under nohup.
    inherited = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, inherited)


@pytest.mark.usefixtures('_hangup_is_not_ignored')
async def test_signals_that_a_process_survives(tmp_path: Path) -> None:
    """A signal must not be sent to an interpreter that would end by it.

    An interactive interpreter handles SIGINT once it has started, but never
    SIGHUP.
    """
    child = Child(
        name='interpreter',
        arguments=[],
        log=tmp_path / 'interpreter.log',
        module='code',
    )
    try:
        with anyio.fail_after(60):
            while not child.survives(signal.SIGINT):
                await anyio.sleep(0.01)
        assert not child.survives(signal.SIGHUP)
    finally:
        child.kill()
    assert not child.survives(signal.SIGINT)
