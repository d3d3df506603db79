"""Faults that a check of the tables finds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One fault; rows and lines count from 1, row 0 is the whole file."""

    source: str
    line: int
    row: int = 0
    field: str = ''
    problem: str
    remedy: str

    def text(self) -> str:
        """Return the fault in one line."""
        place = f'{self.source}:{self.line}:'
        if self.row:
            place = f'{place} row {self.row}'
        if self.field:
            place = f'{place}, field {self.field}'
        return f'{place.rstrip(":")}: {self.problem}; {self.remedy}'


class TablesError(ValueError):
    """Tables are refused for the faults listed."""

    def __init__(self, *, faults: tuple[Fault, ...]) -> None:
        """Keep all faults; the text shows the first and counts the rest."""
        first = faults[0].text()
        more = len(faults) - 1
        super().__init__(f'{first} (and {more} more)' if more else first)
        self.faults = faults
