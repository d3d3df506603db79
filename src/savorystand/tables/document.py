"""The TOML texts of a revision of the tables."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final
from typing import runtime_checkable


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TablesDocument:
    """One accepted revision; ``routes`` and ``pools`` are TOML texts.

    ``change_id`` is unique to the change. The editor that publishes the
    revision generates it.
    """

    revision: int
    change_id: str
    routes: str
    pools: str


@runtime_checkable
class TablesSource(Protocol):
    """A store from which accepted revisions are read."""

    async def head_revision(self) -> int:
        """Return the number of the newest accepted revision, 0 if none.

        Raises:
            StoreError: the platform did not respond.
        """

    async def fetch(self, revision: int) -> TablesDocument:
        """Return one accepted revision.

        Raises:
            StoreError: the platform did not respond or has no such revision.
        """
