"""Runs the sidecar as a module: ``python -m savorystand.node``."""

from __future__ import annotations

import signal
from importlib import import_module


def main() -> None:
    """Run the sidecar."""
    # By default the signal ends the process. A reload that is requested while
    # the program is imported needs no action: it has not read its settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('savorystand.node.sidecar_application').main()


if __name__ == '__main__':
    main()
