"""Items as rows: how an item is divided among rows of limited size."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from savorystand.store.rows import RowKey

if TYPE_CHECKING:
    from savorystand.store.items import Put
    from savorystand.store.rows import RowsChangedError

TABLE_NAME = 'savorystand'
# Table of the further pieces of items that exceed one row.
PIECES_TABLE_NAME = 'savorystand-pieces'
# Attribute that holds the token of the transaction that wrote the item.
TOKEN_ATTRIBUTE = '#token'
# A row can hold at most 65,536 bytes.
_PIECE_BYTES = 65000


def row_key(item_id: str) -> RowKey:
    """Return the key of the first row of an item."""
    return RowKey(table=TABLE_NAME, key=item_id)


def piece_key(item_id: str, number: int) -> RowKey:
    """Return the key of a further piece of an item, counted from 0."""
    return RowKey(table=PIECES_TABLE_NAME, key=f'{item_id}#{number}')


def encode_rows(put: Put, token: str) -> list[tuple[RowKey, bytes]]:
    """Return the rows of an item: the first one, then its further pieces."""
    fields = {**put.attributes, TOKEN_ATTRIBUTE: token}
    text = json.dumps(fields, sort_keys=True).encode()
    pieces = [
        text[start : start + _PIECE_BYTES]
        for start in range(0, len(text), _PIECE_BYTES)
    ]
    further = len(pieces) - 1
    first_row = (row_key(put.id), f'{further}\n'.encode() + pieces[0])
    return [
        first_row,
        *(
            (piece_key(put.id, number), piece)
            for number, piece in enumerate(pieces[1:])
        ),
    ]


def already_written(
    changed: RowsChangedError,
    writes: list[tuple[RowKey, bytes]],
    expected: list[tuple[RowKey, int]],
) -> bool:
    """Return True if the rows found are those that ``writes`` would put.

    ``expected`` lists the rows of the items with the versions they had to have.
    """
    written = dict(writes)
    found = [changed.current.get(key) for key, _ in expected]
    return all(
        row is not None and row.payload == written[row.row_key] for row in found
    )


def failed_indexes(
    changed: RowsChangedError,
    expected: list[tuple[RowKey, int]],
) -> tuple[int, ...]:
    """Return the indexes of the items whose first row has another version."""
    versions = {key: row.version for key, row in changed.current.items()}
    return tuple(
        index
        for index, (key, version) in enumerate(expected)
        if versions.get(key, 0) != version
    )
