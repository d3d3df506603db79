"""Guards against calls that run at a worker for which they were not admitted.

The address of a worker goes to one of another service while calls for the first
one wait beside it (review/6).
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.dispatch.announcements import Announcements
from savorystand.dispatch.inbound import Inbound
from savorystand.gateway.http_connection import HttpConnection
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.tables import Tables
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.platform.test_worker_notices import READY
from tests.platform.test_worker_notices import start_node
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call
from tests.servers import stream_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel

pytestmark = pytest.mark.anyio
_DEADLINE_MS = 4000
_NEXT = replace(
    READY, instance='i-2', started_ms=9000, pool='binwatch', sequence=1
)


class _Address:
    """The address of a worker; responds once ``resumed`` is set."""

    def __init__(self) -> None:
        self.resumed = anyio.Event()
        self.expected: list[str] = []
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                self.expected += [
                    line.partition(': ')[2]
                    for line in head.split('\r\n')
                    if line.lower().startswith('expected-instance')
                ]
                await self.resumed.wait()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n'
                    b'Content-Length: 0\r\n\r\n'
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class _Node:
    def __init__(self, kernel: Kernel) -> None:
        self._inbound = kernel.find('inbound', Inbound)
        self._clock = kernel.find('clock', ManualClock)
        self.announcements = kernel.find('announcements', Announcements)

    async def call(self, pool: str = 'refill') -> Outcome:
        deadline_ms = self._clock.now() + _DEADLINE_MS
        call = make_call(pool=pool, deadline_ms=deadline_ms, idempotent=False)
        headers = (('request-id', 'r'),)
        return await self._inbound.serve(replace(call, headers=headers))


@asynccontextmanager
async def _started(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[_Node, _Address]]:
    address = _Address()
    async with stream_server(address.serve) as port:
        kernel = start_node(port, monkeypatch).kernel
        pools = tuple(
            Pool(name=name, slots=1, connections=9)
            for name in ('refill', 'binwatch')
        )
        kernel.find('tables', TablesHolder).install(
            Tables(revision=2, change_id='', routes=(), pools=pools)
        )
        yield _Node(kernel), address


async def _begin_two_calls(
    node: _Node, address: _Address
) -> list[asyncio.Task[Outcome]]:
    """Make a call that runs at the worker, and one that waits for its slot."""
    node.announcements.accept(replace(READY, slots=1, sequence=2))
    tasks = [asyncio.create_task(node.call()) for _ in range(2)]
    while not address.expected:
        await asyncio.sleep(0.01)
    await let_tasks_run()
    return tasks


def _assert_not_run(outcome: Outcome) -> None:
    assert isinstance(outcome.error, NotRun)
    assert outcome.error.reason is Reason.DRAINING


async def test_call_that_waits_for_a_slot_does_not_run_at_the_next_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The slot becomes free once the former worker responds or ends."""
    async with _started(monkeypatch) as (node, address):
        tasks = await _begin_two_calls(node, address)
        node.announcements.accept(_NEXT)
        address.resumed.set()
        first, second = await asyncio.gather(*tasks)
        assert first.is_ok()
        _assert_not_run(second)
        assert address.expected == ['i-1']


async def test_call_that_waits_for_a_connection_does_not_run_at_the_next_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel may establish it with the worker that comes to the address."""
    connect = HttpConnection.connect
    connecting = anyio.Event()
    released = anyio.Event()

    async def connect_late(**options: object) -> HttpConnection:
        connecting.set()
        await released.wait()
        return await connect(**options)

    async with _started(monkeypatch) as (node, address):
        monkeypatch.setattr(HttpConnection, 'connect', connect_late)
        address.resumed.set()
        task = asyncio.create_task(node.call())
        await connecting.wait()
        node.announcements.accept(_NEXT)
        released.set()
        _assert_not_run(await task)
        assert address.expected == []


async def test_request_names_the_worker_for_which_it_was_admitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next worker refuses it, also before it has announced itself."""
    async with _started(monkeypatch) as (node, address):
        address.resumed.set()
        assert (await node.call()).is_ok()
        node.announcements.accept(_NEXT)
        assert (await node.call('binwatch')).is_ok()
        assert address.expected == ['i-1', 'i-2']


async def test_connection_to_the_former_worker_is_not_used_for_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may be silent for good, or answer what was asked before."""
    async with _started(monkeypatch) as (node, address):
        address.resumed.set()
        assert (await node.call()).is_ok()
        assert (await node.call()).is_ok()
        assert address.connections == 1
        node.announcements.accept(replace(_NEXT, pool='refill'))
        assert (await node.call()).is_ok()
        assert address.connections == 2


async def test_restart_under_the_same_id_serves_waiting_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is what the request names, and serves the same pool."""
    async with _started(monkeypatch) as (node, address):
        tasks = await _begin_two_calls(node, address)
        node.announcements.accept(replace(READY, started_ms=9000, slots=1))
        address.resumed.set()
        outcomes = await asyncio.gather(*tasks)
        assert all(outcome.is_ok() for outcome in outcomes)
