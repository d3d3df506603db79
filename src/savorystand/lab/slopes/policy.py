"""Cost of routing and admission per call, in us on one core."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.queue import Permit
from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.call import TargetLoad
from savorystand.clock import Clock
from savorystand.kernel.kernel import Kernel
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.routing.router import Router
from savorystand.tables.route import Route
from savorystand.transport.address import PeerAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

_NS_PER_US = 1000
_DEADLINE_MS = 600000
_SLOT_COUNT = 90
_DOMAIN_COUNT = 6
_REGION_COUNT = 3
_SEED = 1
# The number of calls that fit into the smallest queue.
_BURST_CALLS = 16


class _FixedDirectory:
    """Directory of a fixed list of members."""

    __slots__ = ('_members',)

    def __init__(self, *, members: list[Member]) -> None:
        self._members = members

    def local_member(self) -> Member:
        return self._members[0]

    def serving(self, pool: str) -> list[Member]:
        return list(self._members)

    def lookup(self, node_id: str) -> Member | None:
        return self._members[int(node_id)]

    def members(self) -> Iterable[Member]:
        return self._members

    def announce(self, pool: str) -> None:
        """Do nothing, as the list does not change."""

    def leave(self) -> None:
        """Do nothing, as the list does not change."""


def pick_cost(*, targets: int, busy: bool, rounds: int) -> float:
    """Return the mean cost of ``Router.pick`` in us.

    With ``busy``, all targets report that no slot is free, so that all
    distances are searched.
    """
    clock = Clock()
    kernel = Kernel()
    kernel.register('clock', clock)
    members = [_sample_member(number) for number in range(targets)]
    kernel.register('membership', _FixedDirectory(members=members))
    router = Router(kernel=kernel, rng=random.Random(_SEED))
    call = _sample_call(clock)
    spent_ns = 0
    for _ in range(rounds):
        if busy:
            _report_full_targets(router, members)
        started_ns = time.perf_counter_ns()
        router.pick(call, frozenset())
        spent_ns += time.perf_counter_ns() - started_ns
    return spent_ns / rounds / _NS_PER_US


def admit_cost(*, rounds: int) -> float:
    """Return the mean cost of ``admit`` and ``release`` in us.

    A slot is always free.
    """
    return anyio.run(_admit_rounds, rounds)


async def _admit_rounds(rounds: int) -> float:
    clock = Clock()
    queue = AdmissionQueue(clock=clock)
    queue.set_slots(_SLOT_COUNT)
    call = _sample_call(clock)
    started_ns = time.perf_counter_ns()
    for _ in range(rounds):
        admitted = await queue.admit(call)
        assert isinstance(admitted, Permit)
        queue.release(admitted, answered=True)
    return (time.perf_counter_ns() - started_ns) / rounds / _NS_PER_US


def queued_admit_cost(*, rounds: int) -> float:
    """Return the mean cost of a call that queues first, in us.

    The cost of the task that runs the call is included.
    """
    return anyio.run(_queued_rounds, rounds)


async def _queued_rounds(rounds: int) -> float:
    clock = Clock()
    queue = AdmissionQueue(clock=clock)
    burst = tuple(_sample_call(clock) for _ in range(_BURST_CALLS))
    started_ns = time.perf_counter_ns()
    for _ in range(rounds // _BURST_CALLS):
        async with anyio.create_task_group() as tasks:
            for call in burst:
                tasks.start_soon(_run_queued_call, queue, call)
    return (time.perf_counter_ns() - started_ns) / rounds / _NS_PER_US


async def _run_queued_call(queue: AdmissionQueue, call: Call) -> None:
    admitted = await queue.admit(call)
    assert isinstance(admitted, Permit)
    await checkpoint()
    queue.release(admitted, answered=True)


def _report_full_targets(router: Router, members: list[Member]) -> None:
    load = TargetLoad(in_flight=_SLOT_COUNT, limit=_SLOT_COUNT)
    for member in members:
        router.observe_load(member.peer, load)


def _sample_member(number: int) -> Member:
    domain = number % _DOMAIN_COUNT
    return Member(
        peer=PeerAddress(node_id=str(number), host='127.0.0.1', port=1),
        started_ms=0,
        version=1,
        state=MemberState.SERVING,
        failure_domain=str(domain),
        region=str(domain % _REGION_COUNT),
        pool='pool',
    )


def _sample_call(clock: Clock) -> Call:
    route = Route(
        name='route',
        method='GET',
        path='/',
        pool='pool',
        importance=Importance.NORMAL,
        idempotent=True,
    )
    context = CallContext(
        request_id='r',
        execution_id='',
        deadline_ms=clock.now() + _DEADLINE_MS,
        retries_left=2,
        importance=Importance.NORMAL,
    )
    return Call(
        context=context,
        route=route,
        method='GET',
        path='/',
        headers=(),
        body=b'',
    )
