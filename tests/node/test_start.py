"""Guards against a reload that ends a node which is still starting."""

from __future__ import annotations

import subprocess
import sys

_PROGRAM = """
import os, signal, sys, types

def main():
    os.kill(os.getpid(), signal.SIGHUP)
    print('alive', *(name for name in ('anyio', 'uvicorn')
                     if name in sys.modules))

application = types.ModuleType('savorystand.node.sidecar_application')
application.main = main
sys.modules[application.__name__] = application
from savorystand.node.__main__ import main as run
run()
"""


def test_reload_during_the_imports_does_not_end_the_node() -> None:
    """The signal is ignored before the libraries, which take long, load."""
    finished = subprocess.run(
        [sys.executable, '-c', _PROGRAM],
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert (finished.returncode, finished.stdout) == (0, b'alive\n')
