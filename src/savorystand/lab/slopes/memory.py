"""Memory of a node by what it stores, in bytes of Python objects."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio
from anyio.abc import SocketAttribute
from expression import Ok

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.queue import Permit
from savorystand.call import Response
from savorystand.call import TargetLoad
from savorystand.clock import Clock
from savorystand.clock import ManualClock
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.key_registry import RunNow
from savorystand.deduplication.keys import KeyIssuer
from savorystand.deduplication.keys import parse_issued
from savorystand.lab.membership_driver import sample_member
from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit
from savorystand.lab.slopes.measuring import memory_points
from savorystand.lab.slopes.membership import filled_list
from savorystand.lab.slopes.samples import sample_call
from savorystand.lab.slopes.samples import sample_tables
from savorystand.reporting.counters import Counters
from savorystand.reporting.decisions import Decisions
from savorystand.reporting.series import WINDOW_COUNT
from savorystand.reporting.series import WINDOW_MS
from savorystand.retry.executions import ExecutionRegistry
from savorystand.routing.pool_view import PoolView
from savorystand.tables.parser import parse_tables
from savorystand.transport.connection import PeerConnection
from savorystand.transport.network import Network
from savorystand.transport.server import ServerConnection

if TYPE_CHECKING:
    from anyio.abc import ByteStream
    from anyio.abc import TaskGroup

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.lab.slopes.measuring import Build
    from savorystand.tables.route import Route

_BYTES_UNIT = 'bytes'
_HELD_SIZES = (50, 100, 250, 500)
_RESPONSE_BYTES = 256
_HASH_BYTES = 16
_OK_STATUS = 200
_ROUTE_COUNT = 10
_STEPS_PER_REQUEST = 3
_LATENCY_MS = 5
_LOOPBACK = '127.0.0.1'
_NO_ROUTES: Mapping[str, Route] = MappingProxyType({})
_OUTCOME = Ok(Response(status=_OK_STATUS, headers=(), body=b'done'))

_MemoryCase: TypeAlias = tuple[str, str, 'Build', tuple[int, ...]]
_HoldResources: TypeAlias = Callable[['TaskGroup', int], Awaitable[None]]
# Time in which all started tasks reach the point at which they wait.
_SETTLE_SECONDS = 0.1


def memory_slopes() -> list[Slope]:
    """Return the slopes of all data whose amount grows with the system."""
    cases: tuple[_MemoryCase, ...] = (
        ('memory-member', 'member', filled_list, (1000, 2500, 5000, 7700)),
        (
            'memory-target',
            'target called',
            _build_pool_view,
            (24, 100, 400, 800),
        ),
        ('memory-service', 'service', _build_tables, (70, 140, 280, 560)),
        (
            'memory-key',
            'key with answer',
            _build_key_registry,
            (500, 1000, 2000, 4000),
        ),
        ('memory-counter', 'route counted', _build_counters, (8, 16, 32, 64)),
        ('memory-decision', 'request', _build_decisions, (64, 128, 256, 512)),
    )
    slopes = [
        fit(name, _BYTES_UNIT, per, memory_points(build, sizes))
        for name, per, build, sizes in cases
    ]
    for name, per, hold in (
        ('memory-connection', 'connection, both ends', _hold_connections),
        ('memory-running-call', 'running call', _hold_calls),
    ):
        anyio.run(_held_bytes, hold, _HELD_SIZES[0])
        points = [
            (size, anyio.run(_held_bytes, hold, size)) for size in _HELD_SIZES
        ]
        slopes.append(fit(name, _BYTES_UNIT, per, points))
    return slopes


def _build_pool_view(size: int) -> object:
    # The list of members is emptied below, as the records themselves count in
    # memory-member.
    view = PoolView()
    members = [sample_member(number) for number in range(size)]
    view.update(members, members[0], 0)
    for number in range(_ROUTE_COUNT):
        view.route(f'route-{number}').record(_LATENCY_MS)
    members.clear()
    return view


def _build_tables(size: int) -> object:
    document = sample_tables(size)
    return document, parse_tables(document)


def _build_key_registry(size: int) -> object:
    issuer = KeyIssuer(node_id='0123456789abcdef')
    registry = KeyRegistry()
    for number in range(size):
        key = parse_issued(issuer.issue())
        decision = key and registry.begin_issued(
            key, number.to_bytes(_HASH_BYTES)
        )
        if isinstance(decision, RunNow):
            body = bytes(_RESPONSE_BYTES) + number.to_bytes(4)
            response = Response(status=_OK_STATUS, headers=(), body=body)
            registry.complete(decision, Ok(response))
    return registry


def _build_counters(size: int) -> object:
    clock = ManualClock()
    counters = Counters(clock=clock)
    calls = [sample_call(number) for number in range(size)]
    for _ in range(WINDOW_COUNT):
        for call in calls:
            counters.count_call(call, _OUTCOME, _LATENCY_MS)
        clock.advance(WINDOW_MS)
    return counters


def _build_decisions(size: int) -> object:
    decisions = Decisions(clock=Clock())
    for number in range(size):
        for step in range(_STEPS_PER_REQUEST):
            decisions.add(
                f'request-{number}',
                event='fresh attempt',
                route=f'route-{step}',
                subject=f'node-{number}',
                verdict='answered',
                why=f'better of two draws {number}',
            )
    return decisions


async def _held_bytes(hold: _HoldResources, size: int) -> float:
    """Return the memory in bytes while ``size`` resources are held."""
    async with anyio.create_task_group() as tasks:
        gc.collect()
        tracemalloc.start()
        await hold(tasks, size)
        await anyio.sleep(_SETTLE_SECONDS)
        gc.collect()
        traced_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        tasks.cancel_scope.cancel()
    return traced_bytes


async def _hold_connections(tasks: TaskGroup, size: int) -> None:
    clock = Clock()
    network = Network()
    listener = await network.listen(_LOOPBACK, 0)
    port = listener.extra(SocketAttribute.local_port)
    null_server = _NullServer()

    async def serve(stream: ByteStream) -> None:  # noqa: WPS430 - one listener
        served = ServerConnection(
            clock=clock, inbound=null_server, control=null_server
        )
        await served.run(stream)

    tasks.start_soon(listener.serve, serve)
    for _ in range(size):
        conn = PeerConnection(
            clock=clock,
            on_load=null_server.answer,
            on_control=null_server.answer,
        )
        tasks.start_soon(conn.run, await network.connect(_LOOPBACK, port))


async def _hold_calls(tasks: TaskGroup, size: int) -> None:
    queue = AdmissionQueue(clock=Clock())
    queue.set_slots(size)
    registry = ExecutionRegistry()
    for number in range(size):
        tasks.start_soon(_hold_call, queue, registry, sample_call(number))


async def _hold_call(
    queue: AdmissionQueue, registry: ExecutionRegistry, call: Call
) -> None:
    admitted = await queue.admit(call)
    assert isinstance(admitted, Permit)
    execution = registry.open(call.context)
    try:
        await anyio.sleep_forever()
    finally:
        registry.close(execution)
        queue.release(admitted, answered=False)


class _NullServer:
    """Server without routes that ignores control frames."""

    def route(self, name: str) -> Route | None:
        return _NO_ROUTES.get(name)

    def load(self) -> TargetLoad:
        return TargetLoad()

    async def serve(self, call: Call) -> Outcome:
        return _OUTCOME

    def answer(self, frame: object) -> None:
        """Ignore a control frame and send no response."""
