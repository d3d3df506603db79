"""Client of the platform's table service."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from savorystand.platform.connections import ServiceConnections
from savorystand.platform.connections import ServiceRequest
from savorystand.platform.errors import StoreError
from savorystand.platform.errors import StoreUnavailableError
from savorystand.platform.errors import StoreUnknownError
from savorystand.platform.protocol import ID
from savorystand.platform.protocol import TABLE_NAME
from savorystand.platform.protocol import TARGET_PREFIX
from savorystand.platform.protocol import decode_answer
from savorystand.platform.protocol import decode_item
from savorystand.platform.protocol import encode_put

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.platform.store import Attributes
    from savorystand.platform.store import Put

_CONTENT_TYPE = 'application/x-amz-json-1.0'
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


class TableStore:
    """Items by id in the table ``savorystand``; an ``ItemStore``."""

    __slots__ = ('_connections',)

    def __init__(self, *, connections: ServiceConnections) -> None:
        """Use the connections to the table service."""
        self._connections = connections

    async def get(self, item_id: str) -> Attributes | None:
        """Return an item's attributes as last written, None if absent.

        Raises:
            StoreError: the platform gave no answer.
        """
        document = await self._read(
            'GetItem',
            {
                'TableName': TABLE_NAME,
                'Key': {ID: {'S': item_id}},
                'ConsistentRead': True,
            },
        )
        try:
            typed = document.get('Item')
            return None if typed is None else decode_item(typed)[1]
        except _MALFORMED as exc:
            raise _malformed(exc) from exc

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return up to 100 items by id; those not read are left out.

        Raises:
            StoreError: the platform gave no answer.
        """
        document = await self._read('BatchGetItem', _batch(item_ids))
        try:
            return _decode_batch(item_ids, document)
        except _MALFORMED as exc:
            raise _malformed(exc) from exc

    async def put(self, put: Put) -> None:
        """Write one item.

        Raises:
            ConditionFailedError: the condition did not hold.
            StoreUnknownError: the item may have been written.
            StoreError: nothing was written.
        """
        await self._call('PutItem', encode_put(put))

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write up to 100 items of different ids, all or none.

        Raises:
            ConditionFailedError: a condition did not hold.
            StoreUnknownError: the items may have been written.
            StoreError: nothing was written.
        """
        await self._call(
            'TransactWriteItems',
            {
                'ClientRequestToken': token,
                'TransactItems': [{'Put': encode_put(put)} for put in puts],
            },
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._connections.close()

    async def _read(
        self,
        operation: str,
        fields: dict[str, Any],
    ) -> dict[str, Any]:
        try:
            return await self._call(operation, fields)
        except StoreUnknownError as exc:
            # A read has no effect whether or not its answer was lost.
            raise StoreUnavailableError(str(exc)) from exc

    async def _call(
        self,
        operation: str,
        fields: dict[str, Any],
    ) -> dict[str, Any]:
        request = ServiceRequest(
            method='POST',
            path='/',
            headers=(
                ('content-type', _CONTENT_TYPE),
                ('x-amz-target', f'{TARGET_PREFIX}.{operation}'),
            ),
            body=json.dumps(fields).encode(),
        )
        return decode_answer(await self._connections.send(request))


def _batch(item_ids: Sequence[str]) -> dict[str, Any]:
    keys = [{ID: {'S': item_id}} for item_id in item_ids]
    wanted = {'Keys': keys, 'ConsistentRead': True}
    return {'RequestItems': {TABLE_NAME: wanted}}


def _decode_batch(
    item_ids: Sequence[str],
    document: dict[str, Any],
) -> dict[str, Attributes | None]:
    unread = document.get('UnprocessedKeys', {}).get(TABLE_NAME, {})
    skipped = {key[ID]['S'] for key in unread.get('Keys', ())}
    found: dict[str, Attributes | None] = {
        item_id: None for item_id in item_ids if item_id not in skipped
    }
    for typed in document['Responses'].get(TABLE_NAME, ()):
        item_id, attributes = decode_item(typed)
        found[item_id] = attributes
    return found


def _malformed(exc: Exception) -> StoreError:
    return StoreUnavailableError(f'malformed answer: {exc!r}')
