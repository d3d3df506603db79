"""What the tables and claims need of the platform."""

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
    """Holds while the table has no item of the same id."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Unchanged:
    """Holds while an attribute of the stored item has this value."""

    attribute: str
    equals: str


Condition: TypeAlias = Absent | Unchanged


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Put:
    """Replaces the item ``id`` if the condition holds.

    ``attributes`` do not include the id.
    """

    id: str
    attributes: Attributes
    condition: Condition


class ItemStore(Protocol):
    """A transactional table of items by id."""

    async def get(self, item_id: str) -> Attributes | None:
        """Return an item's attributes as last written, None if absent.

        Raises:
            StoreError: the platform gave no answer.
        """

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return up to 100 items by id; those not read are left out.

        An absent item is None.

        Raises:
            StoreError: the platform gave no answer.
        """

    async def put(self, put: Put) -> None:
        """Write one item.

        Raises:
            ConditionFailedError: the condition did not hold.
            StoreUnknownError: the item may have been written.
            StoreError: nothing was written.
        """

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write up to 100 items of different ids, all or none.

        Repeating the same puts with the same token within ten minutes
        writes them at most once.

        Raises:
            ConditionFailedError: a condition did not hold.
            StoreUnknownError: the items may have been written.
            StoreError: nothing was written.
        """


class Bucket(Protocol):
    """A store of named objects."""

    async def read(self, name: str) -> bytes | None:
        """Return an object, None if absent.

        Raises:
            StoreError: the platform gave no answer.
        """

    async def write(self, name: str, body: bytes) -> None:
        """Replace an object.

        Raises:
            StoreUnknownError: the object may have been replaced.
            StoreError: nothing was written.
        """
