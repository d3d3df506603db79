"""What the home node remembers of the keys bound to it."""

from __future__ import annotations

import hashlib
import secrets
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

import anyio
from expression import Error
from expression import Result

from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.deduplication.keys import IssuedKey

# Keys remembered by one node; the oldest finished ones go first. At 2.3 new
# keys a second, as expected at the target size, they last for 14 minutes; more
# would exceed the node's 64 MB for control.
MAX_RECORDS = 2000
# Bound on the bodies of all answers that are kept for replay.
MAX_KEPT_BODY_BYTES = 1048576
_REQUEST_HASH_BYTES = 16
_CLAIM_ID_BYTES = 8


@final
@dataclass(slots=True, kw_only=True)
class Run:
    """One attempt to serve a request; ``done`` is set with its outcome."""

    outcome: Outcome | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


@final
@dataclass(slots=True, kw_only=True)
class KeyRecord:
    """One key, and the run of its request or the outcome that ended it.

    A finished run is not kept, as its event holds more memory than the rest.
    ``attempt`` identifies the claim on a caller's own key: a row that carries
    it was inserted for this record and for no other. ``newest`` is the highest
    number of a caller's attempt that has arrived.
    """

    key: str
    sequence: int
    request_hash: bytes
    attempt: str = ''
    latest_attempt: int = 0
    run: Run | None = None
    outcome: Outcome | None = None

    def can_run(self) -> bool:
        """Return True if the request neither runs nor may have run."""
        return self.run is None and self.outcome is None


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RunNow:
    """The request has not run: the caller of ``begin`` runs it."""

    record: KeyRecord
    run: Run


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AwaitRun:
    """The request runs at the moment: wait for its outcome."""

    run: Run


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Decided:
    """The outcome is known without running anything."""

    outcome: Outcome


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Forgotten:
    """The record of the key may have been dropped: it is never run again."""


Decision: TypeAlias = RunNow | AwaitRun | Decided | Forgotten


def hash_request(call: Call) -> bytes:
    """Return a hash that tells different requests under one key apart."""
    digest = hashlib.blake2b(digest_size=_REQUEST_HASH_BYTES)
    digest.update(f'{call.method} {call.path}\n'.encode())
    digest.update(call.body)
    return digest.digest()


class KeyRegistry:
    """Bounded memory of keys; what it drops is never run again."""

    __slots__ = (
        '_kept_bytes',
        '_low_watermark',
        '_max_records',
        '_records',
        '_running',
    )

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        """Start empty, as the home of no key."""
        self._max_records = max_records
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._low_watermark = 0
        self._kept_bytes = 0
        self._running = 0

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return len(self._records)

    def running(self) -> int:
        """Return the number of requests that run at the moment."""
        return self._running

    def has_run(self, key: str) -> bool:
        """Return True if a run of the key's request is remembered."""
        record = self._records.get(key)
        return record is not None and not record.can_run()

    def bind(self, key: str, request_hash: bytes) -> str:
        """Remember a caller's own key and return the id of its claim.

        The id stays the same until the record is dropped, so that a claim
        whose answer was lost can be recognised and repeated.
        """
        record = self._records.get(key)
        if record is None:
            record = KeyRecord(
                key=key,
                sequence=0,
                request_hash=request_hash,
                attempt=secrets.token_hex(_CLAIM_ID_BYTES),
            )
            self._add(record)
        return record.attempt

    def release(self, key: str) -> None:
        """Forget a caller's own key that turned out to have another home."""
        record = self._records.get(key)
        if record is not None and record.can_run():
            self._drop(record)

    def begin_issued(
        self, key: IssuedKey, request_hash: bytes, attempt: int = 0
    ) -> Decision:
        """Decide on a request whose key this node has issued."""
        record = self._records.get(key.text())
        if record is not None:
            return self._decide(record, request_hash, attempt)
        if key.sequence < self._low_watermark:
            return Forgotten()
        record = KeyRecord(
            key=key.text(), sequence=key.sequence, request_hash=request_hash
        )
        decision = self._decide(record, request_hash, attempt)
        self._add(record)
        return decision

    def begin_own(
        self, key: str, request_hash: bytes, attempt: int = 0
    ) -> Decision:
        """Decide on a request whose claim names this node as its home."""
        record = self._records.get(key)
        if record is None:
            return Forgotten()
        return self._decide(record, request_hash, attempt)

    def complete(self, decision: RunNow, outcome: Outcome) -> None:
        """Record how a run ended.

        After ``NotRun`` the key may be run again; any other outcome is final.
        """
        self._running -= 1
        decision.record.run = None
        match outcome:
            case Result(tag='error', error=NotRun()):
                decision.record.outcome = None
            case _:
                decision.record.outcome = outcome
                self._kept_bytes += _body_size(outcome)
        decision.run.outcome = outcome
        decision.run.done.set()
        self._evict()

    def _decide(
        self, record: KeyRecord, request_hash: bytes, attempt: int
    ) -> Decision:
        if record.request_hash != request_hash:
            return Decided(outcome=Error(NotRun(reason=Reason.KEY_REUSED)))
        if record.can_run() and 0 < attempt < record.latest_attempt:
            # Held up on its way: a later attempt may have been told that the
            # request has not run, which has to stay true.
            late_refusal = MayHaveRun(
                reason=Reason.CANCELLED, detail='late attempt'
            )
            return Decided(outcome=Error(late_refusal))
        record.latest_attempt = max(record.latest_attempt, attempt)
        if record.outcome is not None:
            return Decided(outcome=record.outcome)
        if record.run is not None:
            return AwaitRun(run=record.run)
        record.run = Run()
        self._running += 1
        return RunNow(record=record, run=record.run)

    def _add(self, record: KeyRecord) -> None:
        self._records.setdefault(record.key, record)
        self._evict()

    def _evict(self) -> None:
        while self._over_bounds():
            evictable = (
                rec for rec in self._records.values() if rec.run is None
            )
            oldest = next(evictable, None)
            if oldest is None:
                return
            self._drop(oldest)

    def _over_bounds(self) -> bool:
        if len(self._records) > self._max_records:
            return True
        return self._kept_bytes > MAX_KEPT_BODY_BYTES

    def _drop(self, record: KeyRecord) -> None:
        del self._records[record.key]
        self._low_watermark = max(self._low_watermark, record.sequence + 1)
        if record.outcome is not None:
            self._kept_bytes -= _body_size(record.outcome)


def _body_size(outcome: Outcome) -> int:
    match outcome:
        case Result(tag='ok', ok=response):
            return len(response.body)
        case _:
            return 0
