"""Both tables as text, as operators write and nodes pass them on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final
from typing import runtime_checkable


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TablesDocument:
    """One accepted revision; ``routes`` and ``pools`` are TOML texts.

    ``change_id`` was drawn by the editor that published the revision and
    tells its change apart from any other.
    """

    revision: int
    change_id: str
    routes: str
    pools: str


@runtime_checkable
class TablesSource(Protocol):
    """Where accepted revisions can be read."""

    async def head_revision(self) -> int:
        """Return the newest accepted revision, 0 if there is none.

        Raises:
            StoreError: the platform gave no answer.
        """

    async def fetch(self, revision: int) -> TablesDocument:
        """Return one accepted revision.

        Raises:
            StoreError: the platform gave no answer or has no such revision.
        """
