"""Guards against duplicate runs and false not-run verdicts.

Nodes are replaced and lose their registries, the table service loses responses,
and links between nodes fail while callers repeat their requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio
from anyio.lowlevel import checkpoint
from expression import Error
from expression import Ok
from expression import Result
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.call import Response
from savorystand.clock import ManualClock
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.claims import HeldElsewhere
from savorystand.deduplication.claims import Unresolved
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.runner import KeyedRunner
from savorystand.kernel.kernel import Kernel
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.tables.route import Route
from savorystand.transport.address import PeerAddress
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savorystand.call import Outcome
    from savorystand.deduplication.claims import Claim

_SLOTS = 3
# Event loop iterations that let each task reach its next wait.
_SETTLE_ROUNDS = 20
_ROUTE = Route(
    name='confirm',
    method='POST',
    path='/refill/confirm',
    pool='refill',
    importance=Importance.CRITICAL,
    idempotent=False,
)
_RESPONSE = Response(status=200, headers=(), body=b'done')


@dataclass(slots=True, frozen=True)
class SendCall:
    """A caller sends the request with one of the keys to one of the nodes.

    If ``declared``, the call carries the number of this attempt.
    """

    key: int
    node: int
    declared: bool


@dataclass(slots=True, frozen=True)
class ReplaceNode:
    """A node is replaced; its registry is lost and its runs are cancelled."""

    node: int


@dataclass(slots=True, frozen=True)
class SetStore:
    """The table service works, is down, or loses responses after writes."""

    mode: str


@dataclass(slots=True, frozen=True)
class SetLink:
    """Calls from a node arrive, fail, or lose their responses."""

    node: int
    mode: str


@dataclass(slots=True, frozen=True)
class EndRun:
    """A pending attempt at a target ends with an outcome."""

    pick: int
    outcome: Outcome = field(compare=False)


Step: TypeAlias = SendCall | ReplaceNode | SetStore | SetLink | EndRun

_sends = st.builds(
    SendCall,
    key=st.integers(0, 5),
    node=st.integers(0, 2),
    declared=st.booleans(),
)
_steps = st.one_of(
    _sends,
    _sends,
    st.builds(ReplaceNode, node=st.integers(0, 2)),
    st.builds(SetStore, mode=st.sampled_from(['up', 'down', 'lossy'])),
    st.builds(
        SetLink,
        node=st.integers(0, 2),
        mode=st.sampled_from(['up', 'cut', 'lossy']),
    ),
    st.builds(
        EndRun,
        pick=st.integers(0, 9),
        outcome=st.sampled_from(
            [
                Ok(_RESPONSE),
                Error(NotRun(reason=Reason.OVERLOADED)),
                Error(MayHaveRun(reason=Reason.CONNECTION_LOST)),
            ]
        ),
    ),
)


@dataclass(slots=True)
class Attempt:
    """One attempt at a target, pending until ``done`` is set."""

    key: str
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome = field(
        default_factory=lambda: Error(MayHaveRun(reason=Reason.CANCELLED)),
    )


@dataclass(slots=True)
class Cluster:
    """Three nodes, a table service and a record of what may have run."""

    tasks: TaskGroup
    rows: dict[str, tuple[str, str]] = field(default_factory=dict)
    store: str = 'up'
    links: dict[int, str] = field(default_factory=dict)
    nodes: list[NodeUnderTest] = field(default_factory=list)
    pending: list[Attempt] = field(default_factory=list)
    started: dict[str, int] = field(default_factory=dict)
    keys: list[str] = field(default_factory=list)
    sent: dict[str, int] = field(default_factory=dict)
    node_count: int = 0
    faults: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start three nodes; half of the keys are issued, half own keys."""
        for slot in range(_SLOTS):
            self.nodes.append(await self._new_node(slot))
        issued = [node.runner.issuer.issue() for node in self.nodes]
        self.keys = [*issued, 'own-a', 'own-b', 'own-c']

    async def replace(self, slot: int) -> None:
        """Stop the node in ``slot`` and start a new one there."""
        self.nodes[slot].scope.cancel()
        self.nodes[slot] = await self._new_node(slot)

    async def _new_node(self, slot: int) -> NodeUnderTest:
        self.node_count += 1
        node = NodeUnderTest(cluster=self, slot=slot, number=self.node_count)
        await self.tasks.start(node.run)
        return node


class NodeUnderTest:
    """A real ``KeyedRunner``; this object fakes the services that it uses."""

    def __init__(self, *, cluster: Cluster, slot: int, number: int) -> None:
        """Build the runner of a node whose id contains ``number``."""
        self.cluster = cluster
        self.slot = slot
        self.node_id = f'n{number}'
        self.scope = anyio.CancelScope()
        kernel = Kernel()
        kernel.register('clock', ManualClock())
        for name in ('membership', 'peers', 'claims'):
            kernel.register(name, self)
        self.runner = KeyedRunner(
            kernel=kernel,
            node_id=self.node_id,
            run_call=self.run_call,
            registry=KeyRegistry(max_records=1),
        )

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run the runner until the node is replaced."""
        with self.scope:
            await self.runner.run(task_status=task_status)

    async def run_call(self, call: Call) -> Outcome:
        """Start an attempt that a later step ends; two at once are a fault."""
        # The runner catches exceptions of a run, so faults are collected.
        started = self.cluster.started
        if call.to_home:
            self.cluster.faults.append('a target got a call with to_home set')
        if started.get(call.key, 0):
            self.cluster.faults.append('a request ran twice under one key')
        started[call.key] = 1
        attempt = Attempt(key=call.key)
        self.cluster.pending.append(attempt)
        await attempt.done.wait()
        return attempt.outcome

    async def claim(self, key: str, claim_attempt: str) -> Claim:
        """Insert if absent; a lossy store writes but loses the response."""
        await checkpoint()
        if self.cluster.store == 'down':
            return Unresolved(detail='down')
        own_claim = (self.node_id, claim_attempt)
        holder = self.cluster.rows.setdefault(key, own_claim)
        if self.cluster.store == 'lossy':
            return Unresolved(detail='response lost')
        return (
            Claimed()
            if holder == own_claim
            else HeldElsewhere(node_id=holder[0])
        )

    async def call(self, peer: PeerAddress, call: Call) -> Outcome:
        """Call the home over a link that may lose the call or the response."""
        await checkpoint()
        homes = [
            node for node in self.cluster.nodes if node.node_id == peer.node_id
        ]
        mode = self.cluster.links.get(self.slot, 'up')
        if not homes or mode == 'cut':
            return Error(NotRun(reason=Reason.CONNECTION_LOST))
        assert call.to_home
        outcome = await homes[0].runner.serve_home(call)
        if mode == 'lossy':
            return Error(MayHaveRun(reason=Reason.CONNECTION_LOST))
        return outcome

    def lookup(self, node_id: str) -> Member | None:
        """Return any node as serving, as membership may be out of date."""
        return Member(
            peer=PeerAddress(node_id=node_id, host='127.0.0.1', port=1),
            started_ms=0,
            version=0,
            state=MemberState.SERVING,
            failure_domain='a',
            region='a',
            pool='refill',
        )

    def local_member(self) -> None:
        """Complete the protocol ``MemberDirectory``; not called."""

    def serving(self) -> None:
        """Complete the protocol ``MemberDirectory``; not called."""

    def members(self) -> None:
        """Complete the protocol ``MemberDirectory``; not called."""

    def announce(self) -> None:
        """Complete the protocol ``MemberDirectory``; not called."""

    def leave(self) -> None:
        """Complete the protocol ``MemberDirectory``; not called."""


def _call(key: str, *, attempt: int) -> Call:
    context = CallContext(
        request_id='r',
        execution_id='',
        deadline_ms=10000,
        retries_left=2,
        importance=Importance.CRITICAL,
    )
    return Call(
        context=context,
        route=_ROUTE,
        method='POST',
        path='/refill/confirm',
        headers=(),
        body=b'bin 7',
        key=key,
        attempt=attempt,
    )


async def _send(cluster: Cluster, step: SendCall) -> None:
    node = cluster.nodes[step.node]
    key = cluster.keys[step.key]
    cluster.sent[key] = cluster.sent.get(key, 0) + 1
    attempt = cluster.sent[key] if step.declared else 0
    match await node.runner.call(_call(key, attempt=attempt)):
        case Result(tag='ok', ok=response):
            assert response == _RESPONSE
            assert cluster.started[key] == 1
        case Result(error=NotRun()):
            assert cluster.started.get(key, 0) == 0, (
                'not-run verdict for a request that may have run'
            )
        case _:
            return


async def _apply(cluster: Cluster, step: Step) -> None:
    match step:
        case SendCall():
            cluster.tasks.start_soon(_send, cluster, step)
        case ReplaceNode(node=slot):
            await cluster.replace(slot)
        case SetStore(mode=mode):
            cluster.store = mode
        case SetLink(node=slot, mode=mode):
            cluster.links[slot] = mode
        case EndRun(pick=pick, outcome=outcome):
            _end_run(cluster, pick, outcome)


def _end_run(cluster: Cluster, pick: int, outcome: Outcome) -> None:
    if not cluster.pending:
        return
    attempt = cluster.pending.pop(pick % len(cluster.pending))
    if outcome.is_error() and isinstance(outcome.error, NotRun):
        cluster.started[attempt.key] = 0
    attempt.outcome = outcome
    attempt.done.set()


async def _settle() -> None:
    for _ in range(_SETTLE_ROUNDS):
        await checkpoint()


async def _run_steps(steps: list[Step]) -> None:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks=tasks)
        await cluster.start()
        for step in steps:
            await _apply(cluster, step)
            await _settle()
            assert not cluster.faults
        tasks.cancel_scope.cancel()


@settings(max_examples=500)
@given(steps=st.lists(_steps, max_size=30))
def test_request_runs_at_most_once(steps: list[Step]) -> None:
    """No order of faults may run a key twice or make a verdict false."""
    anyio.run(_run_steps, steps)


async def _send_to_replaced_home() -> Outcome:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks=tasks)
        await cluster.start()
        await cluster.replace(0)
        home = cluster.nodes[0].runner
        # A peer still sends the call to the address of the replaced home.
        outcome = await home.serve_home(_call(cluster.keys[0], attempt=0))
        tasks.cancel_scope.cancel()
    return outcome


def test_replaced_home_does_not_report_a_request_as_not_run() -> None:
    """An earlier process at the address may have run the request.

    Its replacement must not report the request as not run.
    """
    outcome = anyio.run(_send_to_replaced_home)
    assert isinstance(outcome.error, MayHaveRun)
    assert outcome.error.reason is Reason.HOME_LOST


async def _deliver_out_of_order() -> tuple[Outcome, Outcome, Cluster]:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks=tasks)
        await cluster.start()
        home = cluster.nodes[0].runner
        outcomes: list[Outcome] = []

        async def send(attempt: int) -> None:
            call = _call(cluster.keys[0], attempt=attempt)
            outcomes.append(await home.serve_home(call))

        tasks.start_soon(send, 2)
        await _settle()
        _end_run(cluster, 0, Error(NotRun(reason=Reason.OVERLOADED)))
        await _settle()
        tasks.start_soon(send, 1)
        await _settle()
        tasks.cancel_scope.cancel()
    return outcomes[0], outcomes[1], cluster


def test_late_attempt_does_not_run_a_refused_request() -> None:
    """A delayed attempt must not make an earlier not-run verdict false."""
    refused, late, cluster = anyio.run(_deliver_out_of_order)
    assert isinstance(refused.error, NotRun)
    assert isinstance(late.error, MayHaveRun)
    assert not cluster.pending
