"""Runs requests with idempotency keys at most once.

The home of a key is the only node that runs requests with it: the node that
issued the key or, for a caller's own key, the node to which a claim has bound
it. Other nodes forward requests with the key to its home.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio
from expression import Error
from expression import Result
from logbook import Logger

from savorystand.call import Call
from savorystand.call import Outcome
from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.claims import ClaimService
from savorystand.deduplication.claims import HeldElsewhere
from savorystand.deduplication.claims import Unresolved
from savorystand.deduplication.key_registry import AwaitRun
from savorystand.deduplication.key_registry import Decided
from savorystand.deduplication.key_registry import Decision
from savorystand.deduplication.key_registry import Forgotten
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.key_registry import Run
from savorystand.deduplication.key_registry import RunNow
from savorystand.deduplication.key_registry import hash_request
from savorystand.deduplication.keys import IssuedKey
from savorystand.deduplication.keys import KeyIssuer
from savorystand.deduplication.keys import parse_issued
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory
from savorystand.membership.member import MemberState
from savorystand.transport.peer_client import PeerClient
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import refuse_undispatched

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel

RunCall: TypeAlias = Callable[[Call], Awaitable[Outcome]]

_DRAIN_POLL_INTERVAL_MS = 20
_log = Logger('savorystand')


class KeyedRunner(Service):
    """Runs each keyed request at the home of its key and replays its outcome."""

    __slots__ = (
        '_run_call',
        '_clock',
        '_kernel',
        '_registry',
        '_node_id',
        '_tasks',
        'issuer',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        node_id: str,
        run_call: RunCall,
        registry: KeyRegistry,
    ) -> None:
        """Run requests with ``run_call``, which sends them to targets."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._node_id = node_id
        self._run_call = run_call
        self._registry = registry
        self._tasks: TaskGroup | None = None
        self.issuer = KeyIssuer(node_id=node_id)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Own the tasks of the runs, which outlive the calls awaiting them."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    async def drain(self) -> None:
        """Wait for all runs; each ends at its own deadline."""
        while self._registry.running():
            await self._clock.sleep(_DRAIN_POLL_INTERVAL_MS)

    def remembered(self) -> int:
        """Return the number of keys in the registry."""
        return len(self._registry)

    def running(self) -> int:
        """Return the number of requests that are running."""
        return self._registry.running()

    async def call(self, call: Call) -> Outcome:
        """Serve a keyed request that a caller sent to this node."""
        issued = parse_issued(call.key)
        if issued is None:
            return await self._call_own(call)
        if issued.node_id == self._node_id:
            return await self._serve_issued(call, issued)
        return await self._forward(call, issued.node_id)

    async def serve_home(self, call: Call) -> Outcome:
        """Serve a request that a peer forwarded to the home of its key."""
        # The attempts are sent to targets, not to the home of the key.
        call = replace(call, to_home=False)
        issued = parse_issued(call.key)
        if issued is None:
            request_hash = hash_request(call)
            return await self._apply_decision(
                call,
                self._registry.begin_own(call.key, request_hash, call.attempt),
            )
        return await self._serve_issued(call, issued)

    async def _serve_issued(self, call: Call, key: IssuedKey) -> Outcome:
        if key.node_id != self._node_id:
            # The key was issued by an earlier process at this address, which
            # may have run the request.
            return _refuse_unknown(call, Reason.HOME_LOST, key.node_id)
        if not self.issuer.verify(key):
            detail = 'the Idempotency-Key was not issued by this node'
            return Error(NotRun(reason=Reason.KEY_REQUIRED, detail=detail))
        decision = self._registry.begin_issued(
            key, hash_request(call), call.attempt
        )
        return await self._apply_decision(call, decision)

    async def _call_own(self, call: Call) -> Outcome:
        request_hash = hash_request(call)
        if self._registry.has_run(call.key):
            return await self._apply_decision(
                call,
                self._registry.begin_own(call.key, request_hash, call.attempt),
            )
        claim_attempt = self._registry.bind(call.key, request_hash)
        claims = self._kernel.find('claims', ClaimService)
        match await claims.claim(call.key, claim_attempt):
            case Claimed():
                decision = self._registry.begin_own(
                    call.key, request_hash, call.attempt
                )
                return await self._apply_decision(call, decision)
            case HeldElsewhere(node_id=home) if home == self._node_id:
                # Bound to this node by a claim whose record was dropped.
                self._registry.release(call.key)
                return _refuse_unknown(call, Reason.FORGOTTEN, home)
            case HeldElsewhere(node_id=home):
                self._registry.release(call.key)
                return await self._forward(call, home)
            case Unresolved(detail=detail):
                # This attempt was not dispatched, but an earlier one may have
                # bound the key to another node.
                return _refuse_unknown(call, Reason.STORE_UNAVAILABLE, detail)

    async def _forward(self, call: Call, home: str) -> Outcome:
        directory = self._kernel.find('membership', MemberDirectory)
        member = directory.lookup(home)
        if member is None or member.state == MemberState.DEAD:
            return _refuse_unknown(call, Reason.HOME_LOST, home)
        client = self._kernel.find('peers', PeerClient)
        outcome = await client.call(member.peer, replace(call, to_home=True))
        match outcome:
            case Result(
                tag='error',
                error=NotRun(
                    reason=Reason.CONNECTION_LOST | Reason.TOO_LARGE,
                ),
            ):
                # The home did not receive this attempt, but may have run the
                # request for an earlier one.
                return _refuse_unknown(call, Reason.HOME_LOST, home)
            case _:
                return outcome

    async def _apply_decision(self, call: Call, decision: Decision) -> Outcome:
        match decision:
            case Decided(outcome=outcome):
                return outcome
            case Forgotten():
                return _refuse_unknown(call, Reason.FORGOTTEN, self._node_id)
            case AwaitRun(run=run):
                return await self._wait_for_run(call, run)
            case RunNow(run=run):
                self._start(call, decision)
                return await self._wait_for_run(call, run)

    def _start(self, call: Call, decision: RunNow) -> None:
        if self._tasks is None:
            refusal = NotRun(reason=Reason.DRAINING)
            self._registry.complete(decision, Error(refusal))
            return
        self._tasks.start_soon(self._run_once, call, decision)

    async def _run_once(self, call: Call, decision: RunNow) -> None:
        # The run completes even if the caller disconnects: the caller's retry
        # then gets the response.
        outcome: Outcome = Error(MayHaveRun(reason=Reason.CANCELLED))
        try:
            # The call is now addressed to a target, not to the home of its key.
            outcome = await self._run_call(replace(call, to_home=False))
        except Exception:
            # An exception in one run must not stop the node and all other runs.
            _log.exception('event=run_failed route={}', call.route.name)
        finally:
            self._registry.complete(decision, outcome)

    async def _wait_for_run(self, call: Call, run: Run) -> Outcome:
        remaining_ms = call.context.deadline_ms - self._clock.now()
        with anyio.move_on_after(max(0, remaining_ms) / MS_PER_SECOND):
            await run.done.wait()
        if run.outcome is None:
            return Error(MayHaveRun(reason=Reason.DEADLINE))
        return run.outcome


def _refuse_unknown(call: Call, reason: Reason, detail: str) -> Outcome:
    return Error(
        refuse_undispatched(
            reason, detail=detail, no_earlier_run=call.is_first_attempt
        )
    )
