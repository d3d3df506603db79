"""Tests for the client of the local target.

They guard against wrong verdicts when a response is truncated or the target is
unreachable, responses that are delivered to the wrong call, and work that
continues at the target after its call was cancelled.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.dispatch.attempt_budget import AttemptBudget
from savorystand.gateway.http_connection import HttpConnection
from savorystand.gateway.target_client import TargetClient
from savorystand.memory.account import MemoryAccount
from savorystand.retry.policy import RetryPolicy
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_binding
from tests.policy_doubles import make_call
from tests.servers import stream_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from savorystand.call import Outcome
    from savorystand.gateway.target import TargetBinding

_COMPLETE_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
_STRAY_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray'
_TRUNCATED_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut'
_PAUSE = b'pause'
_BINDING = make_binding()
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


class _Target:
    """Responds to each request with the chunks of the next script.

    An empty script leaves the request without a response. A last chunk that is
    empty closes the connection, and ``_PAUSE`` waits for ``resumed``.
    """

    def __init__(self, *scripts: tuple[bytes, ...]) -> None:
        self.scripts = list(scripts)
        self.requests = 0
        self.connections = 0
        self.disconnected = anyio.Event()
        self.request_received = anyio.Event()
        # Set to send the last byte of a response with a pause.
        self.resumed = anyio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await reader.readline():
                await reader.readuntil(b'\r\n\r\n')
                if not await self._respond(writer):
                    break
        except ConnectionError:
            # An aborted connection may be reset instead of closed.
            writer.close()
        self.disconnected.set()
        writer.close()

    async def _respond(self, writer: asyncio.StreamWriter) -> bool:
        self.requests += 1
        self.request_received.set()
        script = self.scripts.pop(0)
        for chunk in script:
            if chunk == _PAUSE:
                await self.resumed.wait()
                continue
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0)
        return not script or script[-1] != b''


def _always(binding: TargetBinding) -> bool:
    return True


def _never(binding: TargetBinding) -> bool:
    return False


@asynccontextmanager
async def _client(
    target: _Target,
    account: MemoryAccount | None = None,
    may_start: Callable[[TargetBinding], bool] | None = None,
) -> AsyncIterator[TargetClient]:
    async with stream_server(target.serve) as port:
        yield TargetClient(
            clock=Clock(),
            host='127.0.0.1',
            port=port,
            account=account,
            may_start=may_start or _always,
        )


async def _send(
    client: TargetClient,
    remaining_ms: float = 10000,
    binding: TargetBinding = _BINDING,
) -> Outcome:
    call = make_call(deadline_ms=Clock().now() + remaining_ms)
    return await client.send(call, 'execution', binding)


@pytest.mark.anyio
async def test_verdicts_say_whether_the_target_may_have_run() -> None:
    """Truncated responses are errors, and only unsent requests are not-run."""
    chunks = tuple(
        _COMPLETE_RESPONSE[start : start + 7]
        for start in range(0, len(_COMPLETE_RESPONSE), 7)
    )
    target = _Target(
        chunks,
        (_COMPLETE_RESPONSE,),
        (_TRUNCATED_RESPONSE, b''),
        (b'nonsense',),
        (),
    )
    async with _client(target) as client:
        assert (await _send(client)).ok.body == b'whole'
        assert (await _send(client)).ok.body == b'whole'
        assert target.connections == 1
        assert isinstance((await _send(client)).error, MayHaveRun)
        assert isinstance((await _send(client)).error, MayHaveRun)
        timed_out = (await _send(client, 50)).error
        assert (type(timed_out), timed_out.reason) == (
            MayHaveRun,
            Reason.DEADLINE,
        )
        expired = (await _send(client, -1)).error
        assert (type(expired), expired.reason) == (NotRun, Reason.DEADLINE)
        assert target.requests == 5
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
        unreachable = TargetClient(clock=Clock(), host='127.0.0.1', port=port)
        assert isinstance((await _send(unreachable)).error, NotRun)


@pytest.mark.anyio
async def test_call_is_not_sent_after_its_target_has_left() -> None:
    """The target may leave while the client connects, or the node pauses."""
    target = _Target((_COMPLETE_RESPONSE,))
    async with _client(target, may_start=_never) as client:
        refusal = (await _send(client)).error
    assert (type(refusal), refusal.reason) == (NotRun, Reason.DRAINING)
    assert not target.requests


# Guards against a call that waits until its deadline for a target that takes no
# connection, although another one could serve it.
@pytest.mark.anyio
async def test_call_without_a_connection_may_go_to_another_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection may hang as long as the kernel repeats its first packet."""

    async def connect(**options: object) -> HttpConnection:
        return await anyio.sleep_forever()

    monkeypatch.setattr(HttpConnection, 'connect', connect)
    target = _Target()
    async with _client(target) as client:
        refusal = (await _send(client, 400)).error
    assert (type(refusal), refusal.reason) == (NotRun, Reason.UNAVAILABLE)
    assert AttemptBudget(policy=RetryPolicy(), retries=0).use_failover(refusal)


@pytest.mark.anyio
async def test_stray_response_is_not_delivered_to_another_call() -> None:
    """A second response on a connection is not delivered to the next call."""
    target = _Target(
        (_COMPLETE_RESPONSE, _STRAY_RESPONSE), (_COMPLETE_RESPONSE,)
    )
    async with _client(target) as client:
        await _send(client)
        # The client closes the connection that received the stray response.
        with anyio.fail_after(5):
            await target.disconnected.wait()
        assert (await _send(client)).ok.body == b'whole'
        target.scripts += [
            (_COMPLETE_RESPONSE + _STRAY_RESPONSE,),
            (_COMPLETE_RESPONSE,),
        ]
        assert isinstance((await _send(client)).error, MayHaveRun)
        assert (await _send(client)).ok.body == b'whole'


@pytest.mark.anyio
async def test_cancelled_call_closes_its_connection() -> None:
    """A cancelled call closes its connection, so that the target can stop."""
    target = _Target(())
    async with _client(target) as client:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send, client)
            await target.request_received.wait()
            tasks.cancel_scope.cancel()
        with anyio.fail_after(5):
            await target.disconnected.wait()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'x: y\r\n' * 1000),
        (b'HTTP/1.1 200 OK\r\n', b'x' * 10_000),
        (b'HTTP/1.1 200 OK\r\nx: ', b'y' * 10_000),
        (b'HTTP/1.1 200 OK\r\n\r\n', b'y' * 100_000),
        (
            _CHUNKED_HEAD,
            b'2710\r\n%s\r\n' % (b'y' * 10_000),
        ),
        (_CHUNKED_HEAD, b'1;%s' % (b'x' * 10_000)),
        (b'%s0\r\n' % _CHUNKED_HEAD, b'x: y\r\n' * 1000),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (b'', b'nonsense' * 1000),
    ],
)
async def test_response_without_end_is_given_up(
    start: bytes, part: bytes
) -> None:
    """A target may send bytes until its caller closes the connection.

    They must not fill the memory of the node, or hold the call for its time.
    """
    target = _Target((start, *(part for _ in range(20_000))))
    async with _client(target) as client:
        with anyio.fail_after(20):
            error = (await _send(client, 60_000)).error
            await target.disconnected.wait()
    assert (type(error), error.reason) == (MayHaveRun, Reason.TARGET_FAILED)


@pytest.mark.anyio
async def test_responses_without_end_leave_memory_to_others() -> None:
    """Many bodies without end must not fill the memory of the node together.

    A response of ordinary size beside them is delivered.
    """
    endless = (
        b'HTTP/1.1 200 OK\r\n\r\n',
        *(b'y' * 10_000 for _ in range(1000)),
    )
    slow = (_COMPLETE_RESPONSE[:-1], _PAUSE, _COMPLETE_RESPONSE[-1:])
    target = _Target(slow, *(endless for _ in range(20)))
    account = MemoryAccount(clock=Clock(), max_bytes=1_000_000)
    outcomes: list[Outcome] = []

    async def send(client: TargetClient) -> None:
        outcomes.append(await _send(client, 60_000))

    async with _client(target, account) as client:
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, client)
                await target.request_received.wait()
                for _ in range(20):
                    tasks.start_soon(send, client)
                while len(outcomes) < 20:
                    await anyio.sleep(0.01)
                target.resumed.set()
    assert [outcome.is_ok() for outcome in outcomes].index(True) == 20
    assert outcomes[-1].ok.body == b'whole'


@pytest.mark.anyio
async def test_heads_without_end_leave_memory_to_others() -> None:
    """Many heads without end must not fill the memory of the node together."""
    head = b'HTTP/1.1 200 OK\r\nx: %b' % (b'y' * 60_000)
    target = _Target(*((head, _PAUSE) for _ in range(20)))
    account = MemoryAccount(clock=Clock(), max_bytes=1_000_000)
    outcomes: list[Outcome] = []

    async def send(client: TargetClient) -> None:
        outcomes.append(await _send(client, 60_000))

    async with _client(target, account) as client:
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(send, client)
                while target.requests < 20 or len(outcomes) < 12:
                    await anyio.sleep(0.01)
                assert account.held_bytes <= 1_000_000
                tasks.cancel_scope.cancel()
    assert all(outcome.is_error() for outcome in outcomes)
    assert account.held_bytes == 0
