"""Stores a snapshot of the newest revision in the object store."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from savorystand.store.errors import StoreError
from savorystand.tables.document import TablesDocument

if TYPE_CHECKING:
    from savorystand.store.items import Bucket

SNAPSHOT_NAME = 'tables/snapshot.json'
_TEXT_FIELDS = ('change_id', 'routes', 'pools')
_REVISION = 'revision'


class TablesSnapshot:
    """Reads and writes the snapshot, which may be older than the tables.

    Two editors may write snapshots in another order than their revisions were
    accepted, so a snapshot only serves a node that starts without tables.
    """

    __slots__ = ('_bucket',)

    def __init__(self, *, bucket: Bucket) -> None:
        """Store the snapshot in ``bucket``."""
        self._bucket = bucket

    async def read(self) -> TablesDocument | None:
        """Return the snapshot, None if there is none.

        Raises:
            StoreError: the platform did not respond or the snapshot is
                malformed.
        """
        body = await self._bucket.read(SNAPSHOT_NAME)
        return None if body is None else _decode(body)

    async def write(self, document: TablesDocument) -> None:
        """Replace the snapshot.

        Raises:
            StoreError: the snapshot was not, or may not have been, replaced.
        """
        body = json.dumps(asdict(document)).encode()
        await self._bucket.write(SNAPSHOT_NAME, body)


def _decode(body: bytes) -> TablesDocument:
    fields: Any
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise StoreError('the snapshot is not JSON') from None
    if not isinstance(fields, dict) or fields.keys() != {
        _REVISION,
        *_TEXT_FIELDS,
    }:
        raise StoreError('the snapshot has missing or unknown fields')
    if not isinstance(fields[_REVISION], int):
        raise StoreError('the revision of the snapshot is not an integer')
    if not all(isinstance(fields[name], str) for name in _TEXT_FIELDS):
        raise StoreError('a text field of the snapshot is not a string')
    return TablesDocument(**fields)
