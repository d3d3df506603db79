"""Guards against a signal that ends a node which has just stopped."""

from __future__ import annotations

import subprocess
import sys

import pytest

_PROGRAM = """
import os, signal, sys
import anyio
from savorystand.node import sidecar_application

class Kernel:
    def find(self, name, service_type):
        return self

    def write(self, event):
        os.kill(os.getpid(), signal.SIGTERM)

    async def run(self, stop):
        await stop.wait()

class Settings:
    service = 'refill'

sidecar_application.build_sidecar = lambda cfg, node_id: Kernel()
anyio.run(
    sidecar_application._run, Settings(), None,
    backend_options={'use_uvloop': True},
)
os.kill(os.getpid(), int(sys.argv[1]))
print('stopped')
"""


@pytest.mark.parametrize('signum', [1, 2, 15])
def test_signal_at_the_end_does_not_change_the_exit_code(signum: int) -> None:
    """A signal that comes after the stop must not look like a crash."""
    finished = subprocess.run(
        [sys.executable, '-c', _PROGRAM, str(signum)],
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert (finished.returncode, finished.stdout) == (0, b'stopped\n')
