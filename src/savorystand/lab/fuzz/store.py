"""In-memory table service with outages, lost responses and late writes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError
from savorystand.store.items import Absent
from savorystand.store.items import Unchanged

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from savorystand.store.items import Attributes
    from savorystand.store.items import Put

STORE_MODES = ('up', 'down', 'lost', 'late', 'dropped')
_MAX_LATENCY_MS = 10
_MAX_LATE_WRITE_MS = 3000
_WRITE_FAULT_PROBABILITY = 0.5


@final
class MemoryStore:
    """Items that all clients share, with faults that ``mode`` selects.

    ``down`` refuses all requests. The other fault modes make half of the
    writes fail with an unknown result: ``lost`` writes the items and loses the
    response, ``late`` writes them after a delay, ``dropped`` never does.
    """

    def __init__(self, *, rng: random.Random, tasks: TaskGroup) -> None:
        """Start empty; late writes run in ``tasks``."""
        self._rng = rng
        self._tasks = tasks
        self._tokens: set[str] = set()
        self.mode = 'up'
        self.stored: dict[str, Attributes] = {}

    async def read(self, ids: Sequence[str]) -> dict[str, Attributes | None]:
        """Return the items with ``ids``, None for each that does not exist.

        Raises:
            StoreUnavailableError: the mode is ``down``.
        """
        await self._simulate_latency()
        if self.mode == 'down':
            raise StoreUnavailableError(self.mode)
        found = {item_id: self.stored.get(item_id) for item_id in ids}
        await self._simulate_latency()
        return found

    async def write(self, puts: Sequence[Put], token: str) -> None:
        """Write all items or none, subject to the faults of the mode.

        Raises:
            StoreUnavailableError: the mode is ``down``.
            StoreUnknownError: a fault hides whether the items are written.
            ConditionFailedError: a condition is not met.
        """
        await self._simulate_latency()
        mode = (
            self.mode if self._rng.random() < _WRITE_FAULT_PROBABILITY else 'up'
        )
        if self.mode == 'down':
            raise StoreUnavailableError(self.mode)
        if mode == 'late':
            self._tasks.start_soon(self._write_late, puts, token)
        if mode in {'late', 'dropped'}:
            raise StoreUnknownError(mode)
        failed = self._apply(puts, token)
        await self._simulate_latency()
        if mode == 'lost':
            raise StoreUnknownError(mode)
        if failed:
            raise ConditionFailedError(failed=failed)

    async def _simulate_latency(self) -> None:
        await anyio.sleep(self._rng.uniform(0, _MAX_LATENCY_MS) / MS_PER_SECOND)

    async def _write_late(self, puts: Sequence[Put], token: str) -> None:
        await anyio.sleep(
            self._rng.uniform(0, _MAX_LATE_WRITE_MS) / MS_PER_SECOND
        )
        self._apply(puts, token)

    def _apply(self, puts: Sequence[Put], token: str) -> tuple[int, ...]:
        if token in self._tokens:
            return ()
        failed = tuple(
            index
            for index, put in enumerate(puts)
            if not self._condition_met(put)
        )
        if not failed:
            self._tokens.add(token)
            self.stored.update({put.id: put.attributes for put in puts})
        return failed

    def _condition_met(self, put: Put) -> bool:
        stored = self.stored.get(put.id)
        match put.condition:
            case Absent():
                return stored is None
            case Unchanged(attribute=name, equals=equals):
                return stored is not None and stored[name] == equals
            case _:
                # Only a mutation that leaves the condition out reaches this.
                return True


@final
class StoreClient:
    """Connects one client to the store; partitions may interrupt it."""

    def __init__(
        self,
        *,
        store: MemoryStore,
        is_reachable: Callable[[], bool],
    ) -> None:
        """Use ``store`` while ``is_reachable`` returns True."""
        self._store = store
        self._is_reachable = is_reachable

    async def get(self, item_id: str) -> Attributes | None:
        """Return an item, None if it does not exist."""
        return (await self.get_many((item_id,)))[item_id]

    async def get_many(
        self,
        item_ids: Sequence[str],
    ) -> dict[str, Attributes | None]:
        """Return items, None for each that does not exist.

        Raises:
            StoreUnavailableError: the store does not respond.
        """
        await self._check_reachable()
        found = await self._store.read(item_ids)
        if not self._is_reachable():
            raise StoreUnavailableError('the answer was lost')
        return found

    async def put(self, put: Put) -> None:
        """Write one item."""
        await self.transact((put,), f'put {put.id}')

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write all items or none.

        Raises:
            StoreUnavailableError: the store does not respond.
            StoreUnknownError: the response was lost.
            ConditionFailedError: a condition is not met.
        """
        await self._check_reachable()
        await self._store.write(puts, token)
        if not self._is_reachable():
            raise StoreUnknownError('the answer was lost')

    async def _check_reachable(self) -> None:
        if not self._is_reachable():
            await anyio.sleep(1)
            raise StoreUnavailableError('no connection')
