"""Faults found when the tables are checked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """A fault in a file of the tables and how to correct it.

    Lines and rows count from 1; row 0 stands for the whole file.
    """

    source: str
    line: int
    row: int = 0
    field: str = ''
    problem: str
    remedy: str

    def text(self) -> str:
        """Return ``PLACE: PROBLEM; REMEDY`` in one line."""
        place = f'{self.source}:{self.line}:'
        if self.row:
            place = f'{place} row {self.row}'
        if self.field:
            place = f'{place}, field {self.field}'
        return f'{place.rstrip(":")}: {self.problem}; {self.remedy}'


class TablesError(ValueError):
    """The tables are refused; ``faults`` has at least one fault."""

    def __init__(self, *, faults: tuple[Fault, ...]) -> None:
        """Keep all faults; the message has the first and counts the others."""
        first = faults[0].text()
        remaining = len(faults) - 1
        super().__init__(
            f'{first} (and {remaining} more)' if remaining else first
        )
        self.faults = faults
