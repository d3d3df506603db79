"""Inserts the rows of claims into the table service in batches."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.deduplication.claim_rows import claim_from_row
from savorystand.deduplication.claim_rows import claim_id
from savorystand.deduplication.claim_rows import claim_put
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.claims import Unresolved
from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreContentionError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.clock import Clock
    from savorystand.deduplication.circuit_breaker import CircuitBreaker
    from savorystand.deduplication.claims import Claim
    from savorystand.store.items import ItemStore
    from savorystand.store.items import Put

# A round fails if some of the rows exist, which the next round leaves out, or
# if it conflicts with other transactions.
_MAX_INSERT_ROUNDS = 4
_CONTENTION_DELAY_MS = 5
_TOKEN_BYTES = 16


@final
@dataclass(slots=True, kw_only=True)
class PendingClaim:
    """A claim in progress; ``done`` is set together with ``claim``."""

    key: str
    claim_attempt: str
    claim: Claim | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def resolve(self, claim: Claim) -> None:
        """Set the result of the claim, unless it is set already."""
        if self.claim is None:
            self.claim = claim
            self.done.set()

    def leave_unresolved(self, detail: str) -> None:
        """Resolve the claim as ``Unresolved``, unless it has a result."""
        self.resolve(Unresolved(detail=f'claim {self.claim_attempt}: {detail}'))


class ClaimBatcher:
    """Inserts the rows of many claims in one transaction.

    A claim is ``Claimed`` only after the store has confirmed the insertion or
    has returned a row that holds the id of the claim. Rows are never
    overwritten, so that only one node can get this result for a key.
    """

    __slots__ = ('_breaker', '_clock', '_node_id', '_store')

    def __init__(
        self,
        *,
        store: ItemStore,
        clock: Clock,
        node_id: str,
        breaker: CircuitBreaker,
    ) -> None:
        """Claim keys for ``node_id`` and report each write to ``breaker``."""
        self._store = store
        self._clock = clock
        self._node_id = node_id
        self._breaker = breaker

    async def resolve_all(self, pending_claims: Sequence[PendingClaim]) -> None:
        """Resolve all claims of a batch; their row ids have to differ."""
        remaining = pending_claims
        for _ in range(_MAX_INSERT_ROUNDS):
            if remaining:
                remaining = await self._insert_round(remaining)
        await self._read_back(pending_claims)

    async def _insert_round(
        self, pending_claims: Sequence[PendingClaim]
    ) -> Sequence[PendingClaim]:
        """Try to insert the rows; return the claims to try again."""
        failure = await self._insert(pending_claims)
        match failure:
            case None:
                for inserted in pending_claims:
                    inserted.resolve(Claimed())
            case ConditionFailedError(failed=failed):
                return [
                    pending
                    for index, pending in enumerate(pending_claims)
                    if index not in failed
                ]
            case StoreContentionError():
                await self._clock.sleep(_CONTENTION_DELAY_MS)
                return pending_claims
            case StoreUnknownError():
                # The rows may have been written; ``_read_back`` finds out.
                return ()
            case _:
                for rejected in pending_claims:
                    rejected.leave_unresolved(str(failure))
        return ()

    async def _insert(
        self, pending_claims: Sequence[PendingClaim]
    ) -> StoreError | None:
        """Insert all rows or none; return the error, None on success."""
        puts = [self._claim_put(pending) for pending in pending_claims]
        try:
            await self._store.transact(puts, secrets.token_hex(_TOKEN_BYTES))
        except (ConditionFailedError, StoreContentionError) as exc:
            self._breaker.record_success()
            return exc
        except StoreError as exc:
            self._breaker.record_failure()
            return exc
        self._breaker.record_success()
        return None

    async def _read_back(self, batch: Sequence[PendingClaim]) -> None:
        """Resolve the claims that are still open from their stored rows."""
        pending_claims = [pending for pending in batch if pending.claim is None]
        if not pending_claims:
            return
        row_ids = [claim_id(pending.key) for pending in pending_claims]
        try:
            rows = await self._store.get_many(row_ids)
        except StoreError as exc:
            for unread in pending_claims:
                unread.leave_unresolved(str(exc))
            return
        for pending, row_id in zip(pending_claims, row_ids, strict=True):
            claim = claim_from_row(
                rows.get(row_id),
                node_id=self._node_id,
                claim_attempt=pending.claim_attempt,
            )
            pending.resolve(claim)

    def _claim_put(self, pending: PendingClaim) -> Put:
        return claim_put(
            pending.key,
            node_id=self._node_id,
            claim_attempt=pending.claim_attempt,
            wall_ms=self._clock.wall_time(),
        )
