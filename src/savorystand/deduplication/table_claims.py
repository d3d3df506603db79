"""Claims on callers' own keys in the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.deduplication.breaker import Breaker
from savorystand.deduplication.claim_batch import ClaimBatcher
from savorystand.deduplication.claim_batch import PendingClaim
from savorystand.deduplication.claim_rows import claim_id
from savorystand.deduplication.claims import Claim
from savorystand.deduplication.claims import Unresolved
from savorystand.kernel.service import Service

if TYPE_CHECKING:
    from collections.abc import Sequence

    from anyio.abc import TaskStatus

    from savorystand.clock import Clock
    from savorystand.store.items import ItemStore

# Waiting this long for more claims costs little against a write.
_GATHER_MS = 2
_MAX_ROWS = 25
_MAX_TRANSACTIONS = 4
# Bounds memory while the store is slow.
_MAX_WAITING = 2000
# No request waits longer than 2 s for a connection that went silent.
_MAX_WAIT_MS = 1900
_DRAIN_POLL_MS = 20


class TableClaims(Service):
    """Gathers concurrent claims into batches; a ``ClaimService``."""

    __slots__ = (
        '_batcher',
        '_breaker',
        '_clock',
        '_queue',
        '_running',
        '_waiting',
        '_wake',
    )

    def __init__(
        self,
        *,
        store: ItemStore,
        clock: Clock,
        node_id: str,
    ) -> None:
        """Claim keys for ``node_id``."""
        self._clock = clock
        self._breaker = Breaker(clock=clock)
        self._batcher = ClaimBatcher(
            store=store,
            clock=clock,
            node_id=node_id,
            breaker=self._breaker,
        )
        self._waiting: dict[tuple[str, str], PendingClaim] = {}
        self._queue: dict[tuple[str, str], PendingClaim] = {}
        self._wake = anyio.Event()
        self._running = 0

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Send claims in batches until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                task_status.started()
                while True:
                    await self._gathered()
                    tasks.start_soon(self._serve, self._next_batch())
        finally:
            self._finish(list(self._waiting.values()), 'the node stops')

    async def drain(self) -> None:
        """Wait for the claims in progress."""
        while self._waiting:
            await self._clock.sleep(_DRAIN_POLL_MS)

    async def claim(self, key: str, attempt: str) -> Claim:
        """Bind ``key`` to this node unless it is bound already."""
        waiter = self._waiting.get((key, attempt))
        if waiter is None:
            if len(self._waiting) >= _MAX_WAITING:
                return Unresolved(detail=f'claim {attempt}: too many waiting')
            if not self._breaker.admit():
                return Unresolved(detail=f'claim {attempt}: store is failing')
            waiter = self._enqueue(key, attempt)
        # The claim goes on after the time is up, and a repetition joins it.
        with anyio.move_on_after(_MAX_WAIT_MS / MS_PER_SECOND):
            await waiter.done.wait()
        if waiter.claim is None:
            return Unresolved(detail=f'claim {attempt}: no answer in time')
        return waiter.claim

    def _enqueue(self, key: str, attempt: str) -> PendingClaim:
        waiter = PendingClaim(key=key, attempt=attempt)
        self._waiting[key, attempt] = waiter
        self._queue[key, attempt] = waiter
        self._wake.set()
        return waiter

    async def _gathered(self) -> None:
        """Wait for claims, a moment for more, and a free transaction."""
        if not self._queue:
            self._wake = anyio.Event()
            await self._wake.wait()
        if len(self._queue) < _MAX_ROWS:
            await self._clock.sleep(_GATHER_MS)
        while self._running >= _MAX_TRANSACTIONS:
            await self._clock.sleep(_GATHER_MS)

    def _next_batch(self) -> Sequence[PendingClaim]:
        """Take claims with different ids; a transaction refuses equal ones."""
        batch: dict[str, PendingClaim] = {}
        for waiter in self._queue.values():
            if len(batch) == _MAX_ROWS:
                break
            batch.setdefault(claim_id(waiter.key), waiter)
        for chosen in batch.values():
            del self._queue[chosen.key, chosen.attempt]
        self._running += 1
        return tuple(batch.values())

    async def _serve(self, batch: Sequence[PendingClaim]) -> None:
        try:
            await self._batcher.settle(batch)
        finally:
            self._running -= 1
            self._finish(batch, 'given up')

    def _finish(self, waiters: Sequence[PendingClaim], detail: str) -> None:
        for waiter in waiters:
            waiter.give_up(detail)
            self._waiting.pop((waiter.key, waiter.attempt), None)
