"""In-memory table service with lost answers, late writes and outages."""

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

_Write: TypeAlias = tuple[tuple['Put', ...], str]

FAULTS = ('none', 'lost', 'late', 'dropped', 'down', 'contention')


@dataclass(slots=True, kw_only=True)
class MemoryItems:
    """The items, the writes still under way and the faults to come.

    Each operation of any client consumes one fault: ``lost`` applies a write
    and loses the answer, ``late`` keeps it for ``arrive``, ``dropped`` loses
    it, ``down`` refuses it, and without a fault the operation works.
    """

    faults: list[str] = field(default_factory=list)
    late: list[_Write] = field(default_factory=list)
    stored: dict[str, Attributes] = field(default_factory=dict)
    tokens: set[str] = field(default_factory=set)

    async def get(self, item_id: str) -> Attributes | None:
        """Return an item."""
        return (await self.get_many((item_id,)))[item_id]

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return items; any fault of a read loses its answer."""
        await anyio.sleep(0)
        fault = self.faults.pop(0) if self.faults else 'none'
        if fault in {'lost', 'dropped', 'down'}:
            raise StoreUnavailableError(fault)
        return {item_id: self.stored.get(item_id) for item_id in item_ids}

    async def put(self, put: Put) -> None:
        """Write one item."""
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
            self.late.append((tuple(puts), token))
        if fault in {'late', 'dropped'}:
            raise StoreUnknownError(fault)
        if token not in self.tokens:
            self._write(puts, token, lost=fault == 'lost')
        if fault == 'lost':
            raise StoreUnknownError(fault)

    def arrive(self) -> None:
        """Apply the oldest late write if its conditions hold by now."""
        if self.late:
            puts, token = self.late.pop(0)
            if token not in self.tokens:
                self._write(puts, token, lost=True)

    def _write(self, puts: Sequence[Put], token: str, *, lost: bool) -> None:
        failed = tuple(
            index for index, put in enumerate(puts) if not self._holds(put)
        )
        if failed and not lost:
            raise ConditionFailedError(failed=failed)
        if not failed:
            self.tokens.add(token)
            self.stored.update({put.id: put.attributes for put in puts})

    def _holds(self, put: Put) -> bool:
        stored = self.stored.get(put.id)
        match put.condition:
            case Absent():
                return stored is None
            case Unchanged(attribute=name, equals=equals):
                return stored is not None and stored[name] == equals


class SkippingClock(Clock):
    """A clock whose sleeps pass at once and move its time."""

    __slots__ = ('_now',)

    def __init__(self) -> None:
        """Start at 0 ms."""
        self._now: float = 0

    def now(self) -> float:
        """Return the time slept so far, in milliseconds."""
        return self._now

    async def sleep(self, ms: float) -> None:
        """Let other tasks run, and move the time."""
        self._now += ms
        await anyio.sleep(0)
