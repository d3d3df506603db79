"""One batch of claims against the table service."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.deduplication.claim_rows import claim_id
from savorystand.deduplication.claim_rows import claim_put
from savorystand.deduplication.claim_rows import judge_row
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.claims import Unresolved
from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreContentionError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.clock import Clock
    from savorystand.deduplication.breaker import Breaker
    from savorystand.deduplication.claims import Claim
    from savorystand.store.items import ItemStore
    from savorystand.store.items import Put

# Each round removes rows that are taken or meets other transactions.
_MAX_ROUNDS = 4
_CONTENTION_PAUSE_MS = 5
_TOKEN_BYTES = 16


@final
@dataclass(slots=True, kw_only=True)
class PendingClaim:
    """A claim under way; ``done`` is set together with ``claim``."""

    key: str
    attempt: str
    claim: Claim | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def answer(self, claim: Claim) -> None:
        """Settle the claim; only the first answer counts."""
        if self.claim is None:
            self.claim = claim
            self.done.set()

    def give_up(self, detail: str) -> None:
        """Leave the claim unresolved if it is still open."""
        self.answer(Unresolved(detail=f'claim {self.attempt}: {detail}'))


class ClaimBatcher:
    """Inserts the rows of many claims in one transaction.

    A claim is ``Claimed`` only after the store has confirmed the insertion or
    has returned the row with the claim's own attempt id. Rows are never
    overwritten, so that only one node can get that answer for a key.
    """

    __slots__ = ('_breaker', '_clock', '_node_id', '_store')

    def __init__(
        self,
        *,
        store: ItemStore,
        clock: Clock,
        node_id: str,
        breaker: Breaker,
    ) -> None:
        """Claim keys for ``node_id``; ``breaker`` learns each outcome."""
        self._store = store
        self._clock = clock
        self._node_id = node_id
        self._breaker = breaker

    async def settle(self, waiters: Sequence[PendingClaim]) -> None:
        """Answer all claims of a batch with different row ids."""
        left = waiters
        for _ in range(_MAX_ROUNDS):
            if left:
                left = await self._round(left)
        await self._read_back(waiters)

    async def _round(
        self, waiters: Sequence[PendingClaim]
    ) -> Sequence[PendingClaim]:
        """Try to insert all; return the claims worth another try."""
        failure = await self._insert(waiters)
        match failure:
            case None:
                for inserted in waiters:
                    inserted.answer(Claimed())
            case ConditionFailedError(failed=failed):
                return [
                    waiter
                    for index, waiter in enumerate(waiters)
                    if index not in failed
                ]
            case StoreContentionError():
                await self._clock.sleep(_CONTENTION_PAUSE_MS)
                return waiters
            case StoreUnknownError():
                # The rows may be there: they are read back next.
                return ()
            case _:
                for refused in waiters:
                    refused.give_up(str(failure))
        return ()

    async def _insert(
        self, waiters: Sequence[PendingClaim]
    ) -> StoreError | None:
        """Insert the rows, all or none; return why it failed."""
        puts = [self._put(waiter) for waiter in waiters]
        try:
            await self._store.transact(puts, secrets.token_hex(_TOKEN_BYTES))
        except (ConditionFailedError, StoreContentionError) as exc:
            self._breaker.succeeded()
            return exc
        except StoreError as exc:
            self._breaker.failed()
            return exc
        self._breaker.succeeded()
        return None

    async def _read_back(self, batch: Sequence[PendingClaim]) -> None:
        """Settle by their rows the claims that are still open."""
        waiters = [waiter for waiter in batch if waiter.claim is None]
        if not waiters:
            return
        ids = [claim_id(waiter.key) for waiter in waiters]
        try:
            rows = await self._store.get_many(ids)
        except StoreError as exc:
            for unread in waiters:
                unread.give_up(str(exc))
            return
        for waiter, row_id in zip(waiters, ids, strict=True):
            claim = judge_row(
                rows.get(row_id),
                node_id=self._node_id,
                attempt=waiter.attempt,
            )
            waiter.answer(claim)

    def _put(self, waiter: PendingClaim) -> Put:
        return claim_put(
            waiter.key,
            node_id=self._node_id,
            attempt=waiter.attempt,
            wall_ms=self._clock.wall_time(),
        )
