"""Stores accepted revisions in the platform's table service."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.store.errors import StoreError
from savorystand.store.items import Absent
from savorystand.store.items import Put
from savorystand.store.items import Unchanged
from savorystand.tables.document import TablesDocument

if TYPE_CHECKING:
    from savorystand.store.items import Attributes
    from savorystand.store.items import ItemStore

_HEAD_ID = 'head'
_REVISION = 'revision'
_CHANGE_ID = 'change_id'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Head:
    """Identifies the newest accepted revision.

    ``revision`` is 0 and both strings are empty if there is none. ``digest``
    is the result of ``tables_digest``.
    """

    revision: int = 0
    change_id: str = ''
    digest: str = ''


class TablesRepository:
    """Reads and publishes revisions; implements ``TablesSource``."""

    __slots__ = ('_store',)

    def __init__(self, *, store: ItemStore) -> None:
        """Store revisions as items of ``store``."""
        self._store = store

    async def head(self) -> Head:
        """Return the identity of the newest accepted revision.

        Raises:
            StoreError: the platform did not respond or the item is malformed.
        """
        attributes = await self._store.get(_HEAD_ID)
        if attributes is None:
            return Head()
        return Head(
            revision=_integer_attribute(attributes, _REVISION),
            change_id=_text_attribute(attributes, _CHANGE_ID),
            digest=_text_attribute(attributes, 'digest'),
        )

    async def head_revision(self) -> int:
        """Return the number of the newest accepted revision, 0 if none.

        Raises:
            StoreError: the platform did not respond or the item is malformed.
        """
        head = await self.head()
        return head.revision

    async def find(self, revision: int) -> TablesDocument | None:
        """Return one accepted revision, None if it does not exist.

        Raises:
            StoreError: the platform did not respond or the item is malformed.
        """
        attributes = await self._store.get(_revision_id(revision))
        if attributes is None:
            return None
        return TablesDocument(
            revision=_integer_attribute(attributes, _REVISION),
            change_id=_text_attribute(attributes, _CHANGE_ID),
            routes=_text_attribute(attributes, 'routes'),
            pools=_text_attribute(attributes, 'pools'),
        )

    async def fetch(self, revision: int) -> TablesDocument:
        """Return one accepted revision.

        Raises:
            StoreError: the platform did not respond or has no such revision.
        """
        document = await self.find(revision)
        if document is None:
            raise StoreError(f'revision {revision} does not exist')
        return document

    async def publish(self, document: TablesDocument, *, base: Head) -> None:
        """Store a revision as the newest one if ``base`` still is that.

        Calls with the same arguments store the revision at most once.

        Raises:
            ConditionFailedError: another revision was accepted, or this one
                was by an earlier call.
            StoreUnknownError: the revision may have been accepted.
            StoreError: the revision was not accepted by this call.
        """
        await self._store.transact(
            (_revision_put(document), _head_put(document, base)),
            document.change_id,
        )


def tables_digest(document: TablesDocument) -> str:
    """Return the SHA-256 digest of both texts in hexadecimal."""
    texts = f'{document.routes}\0{document.pools}'
    return hashlib.sha256(texts.encode()).hexdigest()


def _revision_put(document: TablesDocument) -> Put:
    return Put(
        id=_revision_id(document.revision),
        attributes={
            _REVISION: document.revision,
            _CHANGE_ID: document.change_id,
            'routes': document.routes,
            'pools': document.pools,
        },
        condition=Absent(),
    )


def _head_put(document: TablesDocument, base: Head) -> Put:
    condition: Absent | Unchanged = Absent()
    if base.revision:
        # Each change id belongs to one revision, so an equal id means that
        # the newest revision is still ``base``.
        condition = Unchanged(attribute=_CHANGE_ID, equals=base.change_id)
    return Put(
        id=_HEAD_ID,
        attributes={
            _REVISION: document.revision,
            _CHANGE_ID: document.change_id,
            'digest': tables_digest(document),
        },
        condition=condition,
    )


def _revision_id(revision: int) -> str:
    return f'revision#{revision}'


def _integer_attribute(attributes: Attributes, name: str) -> int:
    number = attributes.get(name)
    if not isinstance(number, int):
        raise StoreError(f'an item of the tables has no integer {name}')
    return number


def _text_attribute(attributes: Attributes, name: str) -> str:
    text = attributes.get(name)
    if not isinstance(text, str):
        raise StoreError(f'an item of the tables has no string {name}')
    return text
