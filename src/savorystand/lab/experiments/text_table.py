"""Plain text tables."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

Cell: TypeAlias = str | float


def format_table(rows: Sequence[Sequence[Cell]]) -> list[str]:
    """Return the lines of a table.

    The first column is aligned to the left, all others to the right.
    """
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(text) for text in column) for column in zip(*texts, strict=True)
    ]
    return ['  '.join(_align(row, widths)) for row in texts]


def _align(row: list[str], widths: list[int]) -> list[str]:
    first = row[0].ljust(widths[0])
    others = [
        text.rjust(width)
        for text, width in zip(row[1:], widths[1:], strict=True)
    ]
    return [first, *others]


def _format_cell(cell: Cell) -> str:
    return f'{cell:.1f}' if isinstance(cell, float) else str(cell)
