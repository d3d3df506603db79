"""Runs the program of a sidecar as a child process of the lab."""

from __future__ import annotations

from savorystand.lab.children import stop_with_parent
from savorystand.node.__main__ import main

if __name__ == '__main__':
    stop_with_parent()
    main()
