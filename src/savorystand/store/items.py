"""Interfaces of the item store and the object store."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol
from typing import TypeAlias
from typing import final

Attributes: TypeAlias = Mapping[str, str | int]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Absent:
    """The condition that the store has no item with the same id."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Unchanged:
    """The condition that ``attribute`` of the stored item equals ``equals``."""

    attribute: str
    equals: str


Condition: TypeAlias = Absent | Unchanged


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Put:
    """A write that replaces the item ``id`` if the condition is true.

    ``attributes`` do not include the id.
    """

    id: str
    attributes: Attributes
    condition: Condition


class ItemStore(Protocol):
    """A transactional store of items with attributes, keyed by id."""

    async def get(self, item_id: str) -> Attributes | None:
        """Return the attributes as last written, None if there is no item.

        Raises:
            StoreError: the store did not respond or refused the request.
        """

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return up to 100 items by id, None for items that do not exist.

        Items that could not be read are left out.

        Raises:
            StoreError: the store did not respond or refused the request.
        """

    async def put(self, put: Put) -> None:
        """Write one item.

        Raises:
            ConditionFailedError: the condition was false.
            StoreUnknownError: the item may have been written.
            StoreError: nothing was written.
        """

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write up to 100 items with distinct ids atomically.

        Repeating the same puts with the same token within ten minutes
        writes them at most once.

        Raises:
            ConditionFailedError: a condition was false.
            StoreUnknownError: the items may have been written.
            StoreError: nothing was written.
        """


class Bucket(Protocol):
    """A store of objects by name."""

    async def read(self, name: str) -> bytes | None:
        """Return the content of an object, None if it does not exist.

        Raises:
            StoreError: the store did not respond or refused the request.
        """

    async def write(self, name: str, body: bytes) -> None:
        """Create or replace an object.

        Raises:
            StoreUnknownError: the object may have been replaced.
            StoreError: nothing was written.
        """
