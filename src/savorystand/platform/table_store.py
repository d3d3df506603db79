"""Item store on top of the platform's row store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio

from savorystand.platform.row_client import RowClient
from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.item_rows import TOKEN_ATTRIBUTE
from savorystand.store.item_rows import already_written
from savorystand.store.item_rows import encode_rows
from savorystand.store.item_rows import failed_indexes
from savorystand.store.item_rows import piece_key
from savorystand.store.item_rows import row_key
from savorystand.store.items import Absent
from savorystand.store.items import Unchanged
from savorystand.store.rows import RowKey
from savorystand.store.rows import RowsChangedError
from savorystand.store.rows import StoredRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.store.connections import ServiceConnections
    from savorystand.store.items import Attributes
    from savorystand.store.items import Put

_MAX_CONCURRENT_READS = 8
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class TableStore:
    """Keeps items by id in the table ``savorystand``; implements ``ItemStore``.

    The row of an item holds the number of further pieces in decimal, a line
    break and the first piece of the attributes as JSON.
    """

    __slots__ = ('_rows',)

    def __init__(self, *, connections: ServiceConnections) -> None:
        """Send requests to the row store over ``connections``."""
        self._rows = RowClient(connections=connections)

    async def get(self, item_id: str) -> Attributes | None:
        """Return the attributes as last written, None if there is no item.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        row = await self._read_row(row_key(item_id))
        if row is None:
            return None
        attributes = dict(await self._decode_attributes(row))
        attributes.pop(TOKEN_ATTRIBUTE, None)
        return attributes

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return items by id, None for items that do not exist.

        Raises:
            StoreError: the store did not respond or refused the request.
        """
        found: dict[str, Attributes | None] = {}
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_READS)

        async def read(item_id: str) -> None:  # noqa: WPS430
            async with limiter:
                found[item_id] = await self.get(item_id)

        try:
            async with anyio.create_task_group() as tasks:
                for item_id in item_ids:
                    tasks.start_soon(read, item_id)
        except* StoreError as failures:
            raise StoreUnavailableError(str(failures.exceptions[0])) from None
        return found

    async def put(self, put: Put) -> None:
        """Write one item.

        Raises:
            ConditionFailedError: the condition was false.
            StoreUnknownError: the item may have been written.
            StoreError: nothing was written.
        """
        await self.transact((put,), '')

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write items with distinct ids atomically.

        The store accepts at most 100 rows and 1 MB per transaction. Each item
        holds the token, so that a repetition recognizes what an earlier call
        has written.

        Raises:
            ConditionFailedError: a condition was false.
            StoreUnknownError: the items may have been written.
            StoreError: nothing was written.
        """
        expected = await self._expected_versions(puts)
        writes = [write for put in puts for write in encode_rows(put, token)]
        try:
            await self._rows.write(writes, expected=expected)
        except RowsChangedError as exc:
            if token and already_written(exc, writes, expected):
                return
            failed = failed_indexes(exc, expected)
            raise ConditionFailedError(failed=failed) from exc

    async def close(self) -> None:
        """Close idle connections."""
        await self._rows.close()

    async def _read_row(self, key: RowKey) -> StoredRow | None:
        found = await self._rows.read(key.table, start=key.key, limit=1)
        return next((row for row in found.rows if row.row_key == key), None)

    async def _decode_attributes(self, row: StoredRow) -> Attributes:
        try:
            count, _, text = (row.payload or b'').partition(b'\n')
            for number in range(int(count)):
                piece = await self._read_row(piece_key(row.row_key.key, number))
                text += b'' if piece is None else piece.payload or b''
            return dict(json.loads(text))
        except _DECODE_ERRORS as exc:
            key = row.row_key.key
            raise StoreUnavailableError(
                f'malformed row of item {key}: {exc}'
            ) from exc

    async def _expected_version(self, put: Put) -> int | None:
        """Return the version to expect, None if the condition is false."""
        match put.condition:
            case Absent():
                return 0
            case Unchanged(attribute=attribute, equals=equals):
                row = await self._read_row(row_key(put.id))
                if row is None:
                    return None
                stored = await self._decode_attributes(row)
                matches = stored.get(attribute) == equals
                return row.version if matches else None

    async def _expected_versions(
        self,
        puts: Sequence[Put],
    ) -> list[tuple[RowKey, int]]:
        expected = []
        for index, put in enumerate(puts):
            version = await self._expected_version(put)
            if version is None:
                raise ConditionFailedError(failed=(index,))
            expected.append((row_key(put.id), version))
        return expected
