"""The tables in force on this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from savorystand.tables.tables import Tables
from savorystand.tables.tables import empty_tables

TablesObserver: TypeAlias = Callable[[Tables], None]


class TablesHolder:
    """Keeps the newest revision that this node has learned."""

    __slots__ = ('_current', '_observers')

    def __init__(self) -> None:
        """Start with the empty revision 0."""
        self._current = empty_tables()
        self._observers: list[TablesObserver] = []

    def current(self) -> Tables:
        """Return the tables in force."""
        return self._current

    def add_observer(self, observer: TablesObserver) -> None:
        """Call ``observer`` with each revision that comes into force."""
        self._observers.append(observer)

    def install(self, tables: Tables) -> bool:
        """Put a revision into force; return False if it is not newer.

        An accepted change never reverts, so lower revisions are ignored
        whatever their source.
        """
        if tables.revision <= self._current.revision:
            return False
        self._current = tables
        for observer in self._observers:
            observer(tables)
        return True
