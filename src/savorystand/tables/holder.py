"""Holds the tables in force on this node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from savorystand.tables.tables import Tables
from savorystand.tables.tables import empty_tables

TablesObserver: TypeAlias = Callable[[Tables], None]


class TablesHolder:
    """Holds the newest revision installed and notifies observers."""

    __slots__ = ('_current', '_observers')

    def __init__(self) -> None:
        """Start with revision 0, which has no rows."""
        self._current = empty_tables()
        self._observers: list[TablesObserver] = []

    def current(self) -> Tables:
        """Return the tables in force."""
        return self._current

    def add_observer(self, observer: TablesObserver) -> None:
        """Call ``observer`` with each revision that is installed."""
        self._observers.append(observer)

    def install(self, tables: Tables) -> bool:
        """Install a revision; return False if it is not newer.

        Accepted changes are never reverted, so older revisions are ignored
        whatever their source.
        """
        if tables.revision <= self._current.revision:
            return False
        self._current = tables
        for observer in self._observers:
            observer(tables)
        return True
