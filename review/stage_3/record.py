"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path


@dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """One line of the record; ``at`` is in seconds since the start."""

    at: float
    kind: str
    subject: str
    where: str
    details: dict[str, object]


class Record:
    """Keeps all entries in memory and writes them to a file."""

    def __init__(self, path: Path) -> None:
        """Start an empty file at ``path``."""
        self.entries: list[Entry] = []
        self._began = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(
        self, kind: str, subject: str, where: str = '', **details: object
    ) -> None:
        """Add an entry."""
        entry = Entry(
            at=self.now(),
            kind=kind,
            subject=subject,
            where=where,
            details=details,
        )
        self.entries.append(entry)
        pairs = ' '.join(f'{name}={text}' for name, text in details.items())
        line = f'{entry.at:9.3f} {kind} {subject} {where} {pairs}'
        self._file.write(f'{line.rstrip()}\n')
        self._file.flush()

    def of(self, kind: str) -> list[Entry]:
        """Return all entries of a kind."""
        return [entry for entry in self.entries if entry.kind == kind]
