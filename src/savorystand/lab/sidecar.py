"""Runs the program of a sidecar as a child process of the lab."""

from __future__ import annotations

import signal
from importlib import import_module

from savorystand.node.__main__ import main

if __name__ == '__main__':
    # As in ``main``, which follows further imports here.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('savorystand.lab.children').stop_with_parent()
    main()
