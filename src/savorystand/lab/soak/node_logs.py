"""Checks what nodes have logged in a soak."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def log_violations(directory: Path) -> list[str]:
    """Return the lines of node logs on bytes that could not be decoded.

    No node sends such bytes, whatever texts callers and targets choose.
    """
    return [
        f'malformed: {path.stem}: {line}'
        for path in sorted(directory.glob('*.log'))
        for line in path.read_text().splitlines()
        if ' event=connection-lost ' in line
    ]
