"""Claim service that stores claims in the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.deduplication.circuit_breaker import CircuitBreaker
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

# Time to wait for more claims, short compared with a write.
_GATHER_DELAY_MS = 2
_MAX_BATCH_ROWS = 25
_MAX_TRANSACTIONS = 4
# Bounds the memory for claims while the store is slow.
_MAX_PENDING_CLAIMS = 2000
# Below the 2 s that a request may wait because of an unresponsive connection.
_CLAIM_TIMEOUT_MS = 1900
_DRAIN_POLL_INTERVAL_MS = 20


class TableClaims(Service):
    """Combines concurrent claims into batches; implements ``ClaimService``."""

    __slots__ = (
        '_batcher',
        '_breaker',
        '_clock',
        '_unsent_claims',
        '_running_batches',
        '_pending_claims',
        '_wake',
    )

    def __init__(
        self,
        *,
        store: ItemStore,
        clock: Clock,
        node_id: str,
    ) -> None:
        """Bind keys to ``node_id`` by rows in ``store``."""
        self._clock = clock
        self._breaker = CircuitBreaker(clock=clock)
        self._batcher = ClaimBatcher(
            store=store,
            clock=clock,
            node_id=node_id,
            breaker=self._breaker,
        )
        self._pending_claims: dict[tuple[str, str], PendingClaim] = {}
        self._unsent_claims: dict[tuple[str, str], PendingClaim] = {}
        self._wake = anyio.Event()
        self._running_batches = 0

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Send claims in batches until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                task_status.started()
                while True:
                    await self._wait_for_batch()
                    tasks.start_soon(self._run_batch, self._next_batch())
        finally:
            self._release(
                list(self._pending_claims.values()), 'the node is stopping'
            )

    async def drain(self) -> None:
        """Wait for the claims in progress."""
        while self._pending_claims:
            await self._clock.sleep(_DRAIN_POLL_INTERVAL_MS)

    async def claim(self, key: str, claim_attempt: str) -> Claim:
        """Bind ``key`` to this node unless it is bound already.

        A call with a ``claim_attempt`` that is in progress awaits its result.
        """
        pending = self._pending_claims.get((key, claim_attempt))
        if pending is None:
            if len(self._pending_claims) >= _MAX_PENDING_CLAIMS:
                return Unresolved(
                    detail=f'claim {claim_attempt}: too many claims are pending'
                )
            if not self._breaker.admit():
                return Unresolved(
                    detail=f'claim {claim_attempt}: the table service is failing'
                )
            pending = self._enqueue(key, claim_attempt)
        # The claim continues after the timeout, and a repetition awaits it too.
        with anyio.move_on_after(_CLAIM_TIMEOUT_MS / MS_PER_SECOND):
            await pending.done.wait()
        if pending.claim is None:
            return Unresolved(
                detail=f'claim {claim_attempt}: the table service timed out'
            )
        return pending.claim

    def _enqueue(self, key: str, claim_attempt: str) -> PendingClaim:
        pending = PendingClaim(key=key, claim_attempt=claim_attempt)
        self._pending_claims[key, claim_attempt] = pending
        self._unsent_claims[key, claim_attempt] = pending
        self._wake.set()
        return pending

    async def _wait_for_batch(self) -> None:
        """Wait for claims, briefly for more, and for a free transaction."""
        if not self._unsent_claims:
            self._wake = anyio.Event()
            await self._wake.wait()
        if len(self._unsent_claims) < _MAX_BATCH_ROWS:
            await self._clock.sleep(_GATHER_DELAY_MS)
        while self._running_batches >= _MAX_TRANSACTIONS:
            await self._clock.sleep(_GATHER_DELAY_MS)

    def _next_batch(self) -> Sequence[PendingClaim]:
        """Take claims with distinct row ids, which a transaction requires."""
        batch: dict[str, PendingClaim] = {}
        for pending in self._unsent_claims.values():
            if len(batch) == _MAX_BATCH_ROWS:
                break
            batch.setdefault(claim_id(pending.key), pending)
        for chosen in batch.values():
            del self._unsent_claims[chosen.key, chosen.claim_attempt]
        self._running_batches += 1
        return tuple(batch.values())

    async def _run_batch(self, batch: Sequence[PendingClaim]) -> None:
        try:
            await self._batcher.resolve_all(batch)
        finally:
            self._running_batches -= 1
            self._release(batch, 'the batch ended without a result')

    def _release(
        self, pending_claims: Sequence[PendingClaim], detail: str
    ) -> None:
        for pending in pending_claims:
            pending.leave_unresolved(detail)
            self._pending_claims.pop((pending.key, pending.claim_attempt), None)
