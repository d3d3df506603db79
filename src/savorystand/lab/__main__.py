"""Runs ``savorystand-lab`` as a module, for its child processes."""

from __future__ import annotations

from savorystand.lab.application import main

main()
