"""Snapshot of the newest revision in the object store."""

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
_TEXTS = ('change_id', 'routes', 'pools')
_REVISION = 'revision'


class TablesSnapshot:
    """Reads and writes the snapshot, which may lag behind the tables.

    Two editors may write in the other order than their revisions were
    accepted, so that a snapshot is only good for a start.
    """

    __slots__ = ('_bucket',)

    def __init__(self, *, bucket: Bucket) -> None:
        """Keep the snapshot in ``bucket``."""
        self._bucket = bucket

    async def read(self) -> TablesDocument | None:
        """Return the snapshot, None if there is none.

        Raises:
            StoreError: the platform gave no answer or no snapshot.
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
    if not isinstance(fields, dict) or fields.keys() != {_REVISION, *_TEXTS}:
        raise StoreError('the snapshot has other fields')
    if not isinstance(fields[_REVISION], int):
        raise StoreError('the snapshot has no revision number')
    if not all(isinstance(fields[name], str) for name in _TEXTS):
        raise StoreError('the snapshot has texts of another type')
    return TablesDocument(**fields)
