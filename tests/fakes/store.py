"""In-memory item store with lost responses, late writes and outages."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio

from savorystand.clock import Clock
from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreContentionError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError
from savorystand.store.items import Absent
from savorystand.store.items import Unchanged

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.store.items import Attributes
    from savorystand.store.items import Put

_LateWrite: TypeAlias = tuple[tuple['Put', ...], str]

FAULTS = ('none', 'lost', 'late', 'dropped', 'down', 'contention')


@dataclass(slots=True, kw_only=True)
class FakeItemStore:
    """An ``ItemStore`` that injects the faults queued in ``faults``.

    Each operation consumes one fault: ``lost`` applies a write and loses the
    response, ``late`` keeps it for ``apply_late_write``, ``dropped`` discards
    it, ``down`` refuses it and ``contention`` refuses it because of another
    transaction. Without a fault, or with ``none``, the operation succeeds.
    """

    faults: list[str] = field(default_factory=list)
    late_writes: list[_LateWrite] = field(default_factory=list)
    stored: dict[str, Attributes] = field(default_factory=dict)
    tokens: set[str] = field(default_factory=set)

    async def get(self, item_id: str) -> Attributes | None:
        """Return the attributes of an item, None if it does not exist."""
        return (await self.get_many((item_id,)))[item_id]

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return items by id.

        The faults ``lost``, ``dropped`` and ``down`` make a read fail.
        """
        await anyio.sleep(0)
        fault = self.faults.pop(0) if self.faults else 'none'
        if fault in {'lost', 'dropped', 'down'}:
            raise StoreUnavailableError(fault)
        return {item_id: self.stored.get(item_id) for item_id in item_ids}

    async def put(self, put: Put) -> None:
        """Write one item, unless a fault is due."""
        await self.transact((put,), f'put {put.id}')

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write all items or none, unless a fault is due."""
        await anyio.sleep(0)
        fault = self.faults.pop(0) if self.faults else 'none'
        if fault == 'down':
            raise StoreUnavailableError(fault)
        if fault == 'contention':
            raise StoreContentionError(fault)
        if fault == 'late':
            self.late_writes.append((tuple(puts), token))
        if fault in {'late', 'dropped'}:
            raise StoreUnknownError(fault)
        if token not in self.tokens:
            self._write(puts, token, lost=fault == 'lost')
        if fault == 'lost':
            raise StoreUnknownError(fault)

    def apply_late_write(self) -> None:
        """Apply the oldest late write if its conditions are now true."""
        if self.late_writes:
            puts, token = self.late_writes.pop(0)
            if token not in self.tokens:
                self._write(puts, token, lost=True)

    def _write(self, puts: Sequence[Put], token: str, *, lost: bool) -> None:
        failed = tuple(
            index
            for index, put in enumerate(puts)
            if not self._condition_is_true(put)
        )
        if failed and not lost:
            raise ConditionFailedError(failed=failed)
        if not failed:
            self.tokens.add(token)
            self.stored.update({put.id: put.attributes for put in puts})

    def _condition_is_true(self, put: Put) -> bool:
        stored = self.stored.get(put.id)
        match put.condition:
            case Absent():
                return stored is None
            case Unchanged(attribute=attribute, equals=equals):
                return stored is not None and stored[attribute] == equals


class AutoAdvanceClock(Clock):
    """A clock that ``sleep`` advances without waiting."""

    __slots__ = ('_now',)

    def __init__(self) -> None:
        """Start at 0 ms."""
        super().__init__()
        self._now: float = 0

    def now(self) -> float:
        """Return the sum of all sleeps in milliseconds."""
        return self._now

    async def sleep(self, ms: float) -> None:
        """Advance the time by ``ms`` and let other tasks run."""
        self._now += ms
        await anyio.sleep(0)
