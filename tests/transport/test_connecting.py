"""Guards against calls that outlast their deadline in a wait for a connection.

A machine without power takes no connection and refuses none (review/9).
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.transport.address import PeerAddress
from savorystand.transport.errors import ConnectionLostError
from savorystand.transport.network import Network
from savorystand.transport.peers import PeerTransport
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.gen.wire import ttypes
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

    from savorystand.call import Outcome

pytestmark = pytest.mark.anyio
_PEER = PeerAddress(node_id='a' * 16, host='127.0.0.1', port=9)
_FRAME = ttypes.Frame(ping=ttypes.Ping(sequence=1))
_TIMEOUT_MS = 800


class _Listener:
    async def serve(self, serve_stream: object) -> None:
        await anyio.sleep_forever()


class _DarkNetwork(Network):
    """A network in which no connection is established or refused."""

    def __init__(self) -> None:
        self.attempts = 0
        self.in_progress = 0
        self.most_in_progress = 0
        self.error: Exception | None = None

    async def connect(self, host: str, port: int) -> ByteStream:
        """Wait for good, or fail with ``error`` if it is set."""
        self.attempts += 1
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            if self.error is not None:
                raise self.error
            await anyio.sleep_forever()
        finally:
            self.in_progress -= 1

    async def listen(self, host: str, port: int) -> _Listener:
        """Return a listener without connections."""
        return _Listener()


class _Node:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.network = _DarkNetwork()
        kernel = Kernel()
        kernel.register('clock', self.clock)
        kernel.register('network', self.network)
        self.transport = PeerTransport(kernel=kernel, host='', port=0)
        self.waits_ms: list[float] = []

    async def call(self, timeout_ms: float = _TIMEOUT_MS) -> Outcome:
        """Make a call, and record the time until its outcome."""
        started_ms = self.clock.now()
        call = make_call(deadline_ms=started_ms + timeout_ms, idempotent=False)
        outcome = await self.transport.call(_PEER, call)
        self.waits_ms.append(self.clock.now() - started_ms)
        return outcome

    async def advance(self, ms: float) -> None:
        """Advance in steps, in which tasks run."""
        for _ in range(int(ms / 10)):
            self.clock.advance(10)
            await let_tasks_run()

    async def fail(self) -> Outcome:
        """Make a call whose attempt to connect fails at once."""
        self.network.error = OSError('refused')
        outcome = await self.call()
        self.network.error = None
        return outcome


@asynccontextmanager
async def _started(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[_Node]:
    monkeypatch.setattr('savorystand.transport.peers.CONNECT_TIMEOUT_MS', 6e4)
    node = _Node()
    async with anyio.create_task_group() as tasks:
        await tasks.start(
            lambda task_status: node.transport.run(task_status=task_status)
        )
        yield node
        tasks.cancel_scope.cancel()


def _assert_not_run(outcome: Outcome) -> None:
    assert isinstance(outcome.error, NotRun)
    assert outcome.error.reason is Reason.CONNECTION_LOST


async def test_calls_to_a_dark_peer_leave_time_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Three in a row leave a call more than a third of its time."""
    async with _started(monkeypatch) as node:
        tasks = []
        for _ in range(20):
            tasks.append(asyncio.create_task(node.call()))
            await node.advance(20)
        await node.advance(_TIMEOUT_MS)
        assert all(task.done() for task in tasks)
        for outcome in await asyncio.gather(*tasks):
            _assert_not_run(outcome)
        assert max(node.waits_ms) <= _TIMEOUT_MS / 4
        assert node.network.most_in_progress == 1
        assert node.network.attempts == 1


async def test_call_waits_for_no_attempt_that_takes_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However much time it has left."""
    async with _started(monkeypatch) as node:
        first = asyncio.create_task(node.call(60000))
        await node.advance(450)
        second = asyncio.create_task(node.call(60000))
        await node.advance(100)
        _assert_not_run(await first)
        _assert_not_run(await second)
        _assert_not_run(await node.call(60000))
        assert node.waits_ms == [500, 50, 0]


async def test_expired_call_does_not_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its outcome is late already."""
    async with _started(monkeypatch) as node:
        _assert_not_run(await node.call(-5))


async def test_attempts_to_connect_become_rare(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A lost failure domain must not cost an attempt for each call."""
    async with _started(monkeypatch) as node:
        node.network.error = OSError('refused')
        for _ in range(1000):
            _assert_not_run(await node.call())
            await node.advance(10)
        # Pauses of 100, 200, 400, 800, 1600 and then 2000 ms.
        assert 7 <= node.network.attempts <= 10
        assert max(node.waits_ms) == 0


async def test_call_waits_less_once_an_attempt_has_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may have to skip several targets of a lost failure domain."""
    async with _started(monkeypatch) as node:
        _assert_not_run(await node.fail())
        await node.advance(110)
        task = asyncio.create_task(node.call())
        await node.advance(120)
        _assert_not_run(await task)
        assert max(node.waits_ms) <= 100


async def test_control_frame_fails_at_once_in_the_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Other control frames and calls must not wait for it either."""
    async with _started(monkeypatch) as node:
        _assert_not_run(await node.fail())
        with pytest.raises(ConnectionLostError):
            await node.transport.send(_PEER, _FRAME)
        await node.advance(110)
        sending = asyncio.create_task(_send(node))
        await node.advance(50)
        call = asyncio.create_task(node.call(40))
        await node.advance(20)
        assert call.done()
        await node.advance(1500)
        assert sending.done()
        assert await sending == 'lost'
        _assert_not_run(await call)
        assert node.network.attempts == 2


async def test_cancelled_caller_does_not_end_the_attempt_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first caller may close its connection."""
    async with _started(monkeypatch) as node:
        first = asyncio.create_task(node.call())
        await node.advance(50)
        second = asyncio.create_task(node.call())
        await node.advance(10)
        first.cancel()
        await node.advance(10)
        assert node.network.in_progress == 1
        assert not second.done()
        node.transport.drop_connection(_PEER)
        await node.advance(10)
        _assert_not_run(await second)
        assert node.network.in_progress == 0


async def test_unexpected_error_costs_one_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node and its other connections go on."""
    async with _started(monkeypatch) as node:
        node.network.error = RuntimeError('a fault of the network service')
        _assert_not_run(await node.call())
        await node.advance(110)
        _assert_not_run(await node.call())
        assert node.network.attempts == 2


async def _send(node: _Node) -> str:
    try:
        await node.transport.send(_PEER, _FRAME)
    except ConnectionLostError:
        return 'lost'
    return 'sent'
