"""Records of the keys whose home is this node.

The home of a key is the only node that runs requests with it: the node that
issued the key or, for a key that a caller chose itself, the node to which a
claim in the table service has bound it.
"""

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

# Records that one node keeps; the oldest ones without a run are dropped first.
# At 2.3 new keys a second, as expected at the target size, they last for 14
# minutes; more would exceed the 64 MB that the node has for control.
MAX_RECORDS = 2000
# Bound on the bodies of all responses that are kept for replay, 1 MiB.
MAX_KEPT_BODY_BYTES = 1048576
_REQUEST_HASH_BYTES = 16
_CLAIM_ATTEMPT_BYTES = 8


@final
@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request; ``done`` is set together with ``outcome``."""

    outcome: Outcome | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


@final
@dataclass(slots=True, kw_only=True)
class KeyRecord:
    """One key, and the run of its request or the outcome that ended it.

    A finished run is replaced by its outcome, as its event takes more memory
    than the rest of the record. ``claim_attempt`` is the id of the claim on a
    caller's own key: a row with this id was inserted for this record and no
    other. ``latest_attempt`` is the highest attempt number received from the
    caller.
    """

    key: str
    sequence: int
    request_hash: bytes
    claim_attempt: str = ''
    latest_attempt: int = 0
    run: Run | None = None
    outcome: Outcome | None = None

    def can_run(self) -> bool:
        """Return True if the request is not running and cannot have run."""
        return self.run is None and self.outcome is None


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RunNow:
    """The request has not run; the receiver of the decision runs it."""

    record: KeyRecord
    run: Run


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AwaitRun:
    """The request is running; its outcome has to be awaited."""

    run: Run


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Decided:
    """The outcome is known without running the request."""

    outcome: Outcome


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Forgotten:
    """The record may have been dropped; the request must not run again."""


Decision: TypeAlias = RunNow | AwaitRun | Decided | Forgotten


def hash_request(call: Call) -> bytes:
    """Return a hash that distinguishes requests that share a key."""
    digest = hashlib.blake2b(digest_size=_REQUEST_HASH_BYTES)
    digest.update(f'{call.method} {call.path}\n'.encode())
    digest.update(call.body)
    return digest.digest()


class KeyRegistry:
    """Bounded registry of keys; requests of dropped keys never run again.

    An issued key without a record counts as dropped if its sequence number is
    below the low watermark, a caller's own key in any case.
    """

    __slots__ = (
        '_kept_bytes',
        '_low_watermark',
        '_max_records',
        '_records',
        '_running',
    )

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        """Start empty; drop keys without a run above ``max_records``."""
        self._max_records = max_records
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._low_watermark = 0
        self._kept_bytes = 0
        self._running = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def running(self) -> int:
        """Return the number of requests that are running."""
        return self._running

    def has_run(self, key: str) -> bool:
        """Return True if the record of the key has a run or an outcome."""
        record = self._records.get(key)
        return record is not None and not record.can_run()

    def bind(self, key: str, request_hash: bytes) -> str:
        """Record a caller's own key and return the id of its claim.

        The id stays the same until the record is dropped, so that a claim
        whose response was lost can be recognised and repeated.
        """
        record = self._records.get(key)
        if record is None:
            record = KeyRecord(
                key=key,
                sequence=0,
                request_hash=request_hash,
                claim_attempt=secrets.token_hex(_CLAIM_ATTEMPT_BYTES),
            )
            self._add(record)
        return record.claim_attempt

    def release(self, key: str) -> None:
        """Drop the record of a caller's own key that has another home."""
        record = self._records.get(key)
        if record is not None and record.can_run():
            self._drop(record)

    def begin_issued(
        self, key: IssuedKey, request_hash: bytes, attempt: int = 0
    ) -> Decision:
        """Decide how to serve a request whose key this node has issued.

        ``attempt`` is the caller's attempt number, 0 if it sent none.
        """
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
        """Decide how to serve a request whose own key is bound to this node.

        ``attempt`` is the caller's attempt number, 0 if it sent none.
        """
        record = self._records.get(key)
        if record is None:
            return Forgotten()
        return self._decide(record, request_hash, attempt)

    def complete(self, decision: RunNow, outcome: Outcome) -> None:
        """Record the outcome of a run.

        After ``NotRun`` the request may run again; other outcomes are final.
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
            # The attempt was delayed: a later one may have been told that the
            # request has not run, and this has to stay true.
            late_refusal = MayHaveRun(
                reason=Reason.CANCELLED,
                detail='a later attempt with this key arrived first',
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
