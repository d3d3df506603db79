"""Rows of a versioned row store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from savorystand.store.errors import StoreError


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RowKey:
    """Identifies a row; ``part`` is its partition, which may be empty."""

    table: str
    key: str
    part: str = ''


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class StoredRow:
    """A row as read from the store.

    ``version`` is the value of a counter that increases with each transaction
    of the whole store. ``payload`` is None if the feed reports a deletion.
    """

    row_key: RowKey
    version: int
    payload: bytes | None


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RowPage:
    """Rows of one snapshot; ``version`` is the newest version of the store.

    ``generation`` is the number of the history to which the versions belong. A
    store that comes back from a copy begins another one, and gives versions
    out again. It is None if the store names none.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool
    generation: int | None = None


class RowsChangedError(StoreError):
    """Rows had other versions than expected; nothing was written.

    ``current`` maps the keys of the expected rows that exist to those rows.
    """

    def __init__(self, *, current: tuple[StoredRow, ...]) -> None:
        """Create the error for the rows that the store reports."""
        super().__init__(
            f'unexpected row versions; {len(current)} of the rows exist'
        )
        self.current = {row.row_key: row for row in current}
