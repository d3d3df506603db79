"""Cost of the decisions on one call, in microseconds of one core."""

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
_SLOTS = 90
_DOMAINS = 6
_REGIONS = 3
_SEED = 1
# As many calls as fit into the smallest queue.
_BURST = 16


class _FixedDirectory:
    """Members that do not change."""

    __slots__ = ('_listed',)

    def __init__(self, *, listed: list[Member]) -> None:
        self._listed = listed

    def local_member(self) -> Member:
        return self._listed[0]

    def serving(self, pool: str) -> list[Member]:
        return list(self._listed)

    def lookup(self, node_id: str) -> Member | None:
        return self._listed[int(node_id)]

    def members(self) -> Iterable[Member]:
        return self._listed

    def announce(self, pool: str) -> None:
        """Ignore the announcement."""

    def leave(self) -> None:
        """Ignore the leave."""


def pick_cost(*, targets: int, busy: bool, rounds: int) -> float:
    """Return the mean cost of ``Router.pick`` in microseconds.

    With ``busy``, all targets report a full queue, so that all distances are
    searched.
    """
    clock = Clock()
    kernel = Kernel()
    kernel.register('clock', clock)
    listed = [_member(number) for number in range(targets)]
    kernel.register('membership', _FixedDirectory(listed=listed))
    router = Router(kernel=kernel, rng=random.Random(_SEED))
    call = _call(clock)
    spent_ns = 0
    for _ in range(rounds):
        if busy:
            _report_busy(router, listed)
        started_ns = time.perf_counter_ns()
        router.pick(call, frozenset())
        spent_ns += time.perf_counter_ns() - started_ns
    return spent_ns / rounds / _NS_PER_US


def admit_cost(*, rounds: int) -> float:
    """Return the mean cost of ``admit`` and ``release`` of a free slot."""
    return anyio.run(_admit_rounds, rounds)


async def _admit_rounds(rounds: int) -> float:
    clock = Clock()
    queue = AdmissionQueue(clock=clock)
    queue.set_slots(_SLOTS)
    call = _call(clock)
    started_ns = time.perf_counter_ns()
    for _ in range(rounds):
        admitted = await queue.admit(call)
        assert isinstance(admitted, Permit)
        queue.release(admitted, answered=True)
    return (time.perf_counter_ns() - started_ns) / rounds / _NS_PER_US


def queued_admit_cost(*, rounds: int) -> float:
    """Return the mean cost of a call that queues first, tasks included."""
    return anyio.run(_queued_rounds, rounds)


async def _queued_rounds(rounds: int) -> float:
    clock = Clock()
    queue = AdmissionQueue(clock=clock)
    burst = tuple(_call(clock) for _ in range(_BURST))
    started_ns = time.perf_counter_ns()
    for _ in range(rounds // _BURST):
        async with anyio.create_task_group() as tasks:
            for call in burst:
                tasks.start_soon(_run_one, queue, call)
    return (time.perf_counter_ns() - started_ns) / rounds / _NS_PER_US


async def _run_one(queue: AdmissionQueue, call: Call) -> None:
    admitted = await queue.admit(call)
    assert isinstance(admitted, Permit)
    await checkpoint()
    queue.release(admitted, answered=True)


def _report_busy(router: Router, listed: list[Member]) -> None:
    load = TargetLoad(in_flight=_SLOTS, limit=_SLOTS)
    for member in listed:
        router.observe_load(member.peer, load)


def _member(number: int) -> Member:
    domain = number % _DOMAINS
    return Member(
        peer=PeerAddress(node_id=str(number), host='127.0.0.1', port=1),
        started_ms=0,
        version=1,
        state=MemberState.SERVING,
        failure_domain=str(domain),
        region=str(domain % _REGIONS),
        pool='pool',
    )


def _call(clock: Clock) -> Call:
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
