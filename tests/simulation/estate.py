"""Nodes with their targets, and the callers that send them requests.

Each node has the real router, attempts, admission and overload signals. The
network, the targets and the callers are simulated.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import anyio
from expression import Error
from expression import Ok
from expression import Result

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.rate_limit import RateLimit
from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.call import Response
from savorystand.clock import MS_PER_SECOND
from savorystand.dispatch.attempts import AttemptRunner
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.inbound import Inbound
from savorystand.kernel.kernel import Kernel
from savorystand.lab.fuzz.virtual_time import LoopClock
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.retry.budget import BudgetLimits
from savorystand.retry.executions import ExecutionRegistry
from savorystand.retry.policy import RetryPolicy
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.routing.router import Router
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables
from savorystand.transport.address import PeerAddress
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import register_local_pool

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.gateway.target import TargetBinding

_FAILED = 500
_OK = 200
_REGION_LATENCY_MS = 20
_NEAR_LATENCY_MS = 1
_DOMAINS_PER_REGION = 3
# Work on a target that has just started takes this many times as long.
_COLD_FACTOR = 2


@dataclass(slots=True, kw_only=True, frozen=True)
class Operation:
    """A route, the work of its target, and the calls that follow the work.

    ``calls`` names other operations, which are called one after the other.
    """

    name: str
    pool: str
    work_ms: float
    limit_ms: float
    importance: Importance = Importance.NORMAL
    calls: tuple[str, ...] = ()

    def route(self) -> Route:
        """Return the row of the routes table."""
        return Route(
            name=self.name,
            method='GET',
            path='/',
            pool=self.pool,
            importance=self.importance,
            idempotent=True,
            max_targets=2,
        )


@dataclass(slots=True, kw_only=True)
class Tally:
    """Requests by the second in which callers first sent them, and work."""

    sent: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    executions: Counter[str] = field(default_factory=Counter)

    def served_percent(self, start_s: int, end_s: int) -> float:
        """Return how many of 100 requests sent in some seconds were served."""
        seconds = range(start_s, end_s)
        sent = sum(self.sent[second] for second in seconds)
        served = sum(self.served[second] for second in seconds)
        return 100 * served / max(1, sent)


class _Directory:
    """The members that a node has learned of."""

    def __init__(self, local: Member) -> None:
        self._local = local
        self._pools: dict[str, list[Member]] = {}

    def learn(self, member: Member) -> None:
        known = self._pools.get(member.pool, [])
        self._pools[member.pool] = [*known, member]

    def local_member(self) -> Member:
        return self._local

    def serving(self, pool: str) -> list[Member]:
        return self._pools.get(pool, [])

    def lookup(self, node_id: str) -> Member | None:
        by_id = {one.peer.node_id: one for one in self.members()}
        return by_id.get(node_id)

    def members(self) -> list[Member]:
        return [one for pool in self._pools.values() for one in pool]

    def announce(self, pool: str) -> None:
        """Do nothing; the estate tells the nodes of each other."""

    def leave(self) -> None:
        """Do nothing; no target leaves."""


class Node:
    """A node, its target and its connections."""

    def __init__(self, *, estate: Estate, member: Member, slots: int) -> None:
        """Create the node of ``member``; its target has ``slots`` slots."""
        self.member = member
        self.directory = _Directory(member)
        self._estate = estate
        clock = estate.clock
        self.started_ms = clock.now()
        kernel = Kernel(clock=clock)
        kernel.register('clock', clock)
        kernel.register('membership', self.directory)
        kernel.register('tables', TablesHolder())
        kernel.register('admission', AdmissionQueue(clock=clock))
        kernel.register('rate limit', RateLimit(clock=clock))
        local_pool = register_local_pool(kernel)
        limits = BudgetLimits(
            retry_fraction=0.12, hedge_fraction=0, max_tokens=9
        )
        kernel.register(
            'retry', RetryPolicy(limits=limits, passes_retries=False)
        )
        kernel.register('executions', ExecutionRegistry())
        kernel.register('downstream overload', DownstreamOverload(clock=clock))
        seed = estate.rng.random()
        self.router = Router(kernel=kernel, rng=random.Random(seed))
        kernel.register('routing', self.router)
        kernel.register('peers', self)
        kernel.register('target', self)
        kernel.register('attempts', AttemptRunner(kernel=kernel))
        self.dispatcher = Dispatcher(kernel=kernel)
        self.inbound = Inbound(kernel=kernel)
        kernel.find('tables', TablesHolder).install(estate.tables)
        local_pool.announce(member.pool, slots=slots)

    async def call(self, peer: PeerAddress, call: Call) -> Outcome:
        """Send a call to another node, as the transport does."""
        node = self._estate.nodes[peer.node_id]
        clock = self._estate.clock
        latency_ms = (
            _NEAR_LATENCY_MS
            if node.member.region == self.member.region
            else _REGION_LATENCY_MS
        )
        remaining_ms = call.context.deadline_ms - clock.now()
        with anyio.move_on_after(max(0, remaining_ms) / MS_PER_SECOND):
            await clock.sleep(latency_ms)
            outcome = await node.inbound.serve(call)
            if outcome.is_error():
                self.router.observe_load(peer, node.inbound.load())
            await clock.sleep(latency_ms)
            return outcome
        return Error(MayHaveRun(reason=Reason.DEADLINE))

    async def send(
        self, call: Call, execution_id: str, binding: TargetBinding
    ) -> Outcome:
        """Serve a call at the target, which makes calls of its own."""
        estate = self._estate
        operation = estate.operations[call.route.name]
        estate.tally.executions[operation.name] += 1
        work_ms = operation.work_ms * estate.rng.uniform(0.5, 1.5)
        if estate.clock.now() - self.started_ms < estate.cold_ms:
            work_ms *= _COLD_FACTOR
        await estate.clock.sleep(work_ms)
        for name in operation.calls:
            called = estate.operations[name]
            outcome = await self.dispatcher.call(
                estate.make_call(
                    called,
                    deadline_ms=call.context.deadline_ms,
                    importance=call.context.importance,
                    parent_route=operation.name,
                )
            )
            if outcome.is_error() or outcome.ok.status != _OK:
                return Ok(Response(status=_FAILED, headers=(), body=b''))
        return Ok(Response(status=_OK, headers=(), body=b''))


class Estate:
    """All nodes, and a tally of the requests of callers."""

    def __init__(
        self, *, operations: tuple[Operation, ...], seed: int, cold_ms: float
    ) -> None:
        """Start without nodes; targets are cold for ``cold_ms``."""
        self.clock = LoopClock()
        self._began_ms = self.clock.now()
        self.rng = random.Random(seed)
        self.cold_ms = cold_ms
        self.operations = {one.name: one for one in operations}
        self.tally = Tally()
        self.nodes: dict[str, Node] = {}
        pools = sorted({one.pool for one in operations})
        self.tables = Tables(
            revision=1,
            change_id='1',
            routes=tuple(one.route() for one in operations),
            pools=tuple(
                Pool(name=name, slots=1, connections=9) for name in pools
            ),
        )

    def add_pool(
        self, name: str, *, slots: int, regions: dict[str, int]
    ) -> None:
        """Add nodes of a pool, so many in each region."""
        for region, count in regions.items():
            for number in range(count):
                domain_number = number % _DOMAINS_PER_REGION
                domain = f'{region}-{domain_number}'
                node_id = f'{name}-{region}-{number}'
                member = Member(
                    peer=PeerAddress(node_id=node_id, host=node_id, port=1),
                    started_ms=0,
                    version=1,
                    state=MemberState.SERVING,
                    failure_domain=domain,
                    region=region,
                    pool=name,
                )
                self.nodes[node_id] = Node(
                    estate=self, member=member, slots=slots
                )

    async def spread_members(self, within_ms: float) -> None:
        """Let each node learn of each other one at a random time."""
        pairs = [
            (self.rng.uniform(0, within_ms), node, other.member)
            for node in self.nodes.values()
            for other in self.nodes.values()
        ]
        pairs.sort(key=lambda pair: pair[0])
        start_ms = self.clock.now()
        for at_ms, node, member in pairs:
            await self.clock.sleep(max(0, start_ms + at_ms - self.clock.now()))
            node.directory.learn(member)

    async def send_requests(
        self, operation: str, per_second: float, for_ms: float
    ) -> None:
        """Send requests at random times to random nodes, each once or twice."""
        async with anyio.create_task_group() as tasks:
            end_ms = self.clock.now() + for_ms
            while self.clock.now() < end_ms:
                wait_ms = self.rng.expovariate(per_second / MS_PER_SECOND)
                await self.clock.sleep(wait_ms)
                tasks.start_soon(self.request, self.operations[operation])

    async def request(self, operation: Operation) -> None:
        """Send a request to a random node; repeat it once if it fails."""
        sent_ms = self.clock.now()
        second = int((sent_ms - self._began_ms) // MS_PER_SECOND)
        self.tally.sent[second] += 1
        deadline_ms = sent_ms + operation.limit_ms
        for _ in range(2):
            self.tally.attempts[operation.name] += 1
            node = self.rng.choice(list(self.nodes.values()))
            outcome = await node.dispatcher.call(
                self.make_call(operation, deadline_ms=deadline_ms)
            )
            match outcome:
                case Result(tag='ok', ok=Response(status=status)) if (
                    status == _OK
                ):
                    self.tally.served[second] += 1
                    return
                case Result(tag='error', error=NotRun() as refusal):
                    wait_ms = max(200, refusal.retry_after_ms)
                case _:
                    wait_ms = 200
            await self.clock.sleep(wait_ms * self.rng.uniform(1, 1.2))

    def make_call(
        self,
        operation: Operation,
        *,
        deadline_ms: float,
        importance: Importance | None = None,
        parent_route: str = '',
    ) -> Call:
        """Return a call that ends at ``deadline_ms`` or at its own limit."""
        limit_ms = self.clock.now() + operation.limit_ms
        rank = operation.importance if importance is None else importance
        return Call(
            context=CallContext(
                request_id='r',
                execution_id='',
                deadline_ms=min(deadline_ms, limit_ms),
                retries_left=0,
                importance=rank,
            ),
            route=operation.route(),
            method='GET',
            path='/',
            headers=(),
            body=b'',
            parent_route=parent_route,
        )
