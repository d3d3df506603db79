"""The tables in force on this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from savorystand.tables.tables import Tables
from savorystand.tables.tables import empty_tables

Watcher: TypeAlias = Callable[[Tables], None]


class TableHolder:
    """Keeps the newest revision that this node has learned."""

    __slots__ = ('_current', '_watchers')

    def __init__(self) -> None:
        """Start with the empty revision 0."""
        self._current = empty_tables()
        self._watchers: list[Watcher] = []

    def current(self) -> Tables:
        """Return the tables in force."""
        return self._current

    def watch(self, watcher: Watcher) -> None:
        """Call ``watcher`` with each revision that comes into force."""
        self._watchers.append(watcher)

    def install(self, tables: Tables) -> bool:
        """Put a revision into force; return False if it is not newer.

        An accepted change never reverts, so lower revisions are ignored
        whatever their source.
        """
        if tables.revision <= self._current.revision:
            return False
        self._current = tables
        for watcher in self._watchers:
            watcher(tables)
        return True
