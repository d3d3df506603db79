"""Failures: wrong verdicts, foreign answers and leaks at the target."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.gateway.target_client import TargetClient
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorystand.call import Outcome

_WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
_STRAY = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray'
_CUT = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut'


class _Target:
    """Answers each request with the next script of chunks, then acts."""

    def __init__(self, *scripts: tuple[bytes, ...]) -> None:
        self.scripts = list(scripts)
        self.requests = 0
        self.connections = 0
        self.gone = anyio.Event()
        self.seen = anyio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await reader.readline():
                await reader.readuntil(b'\r\n\r\n')
                if not await self._answer(writer):
                    break
        except ConnectionError:
            # An aborted connection may be reset instead of closed.
            writer.close()
        self.gone.set()
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> bool:
        self.requests += 1
        self.seen.set()
        script = self.scripts.pop(0)
        for chunk in script:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0)
        return not script or script[-1] != b''


@asynccontextmanager
async def _client(target: _Target) -> AsyncIterator[TargetClient]:
    server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield TargetClient(clock=Clock(), host='127.0.0.1', port=port)


async def _send(client: TargetClient, remaining_ms: float = 10000) -> Outcome:
    call = make_call(deadline_ms=Clock().now() + remaining_ms)
    return await client.send(call, 'execution')


@pytest.mark.anyio
async def test_verdicts_tell_what_the_target_may_have_seen() -> None:
    """A cut answer is not whole, and only unsent requests are not-run."""
    chunks = tuple(
        _WHOLE[place : place + 7] for place in range(0, len(_WHOLE), 7)
    )
    target = _Target(chunks, (_WHOLE,), (_CUT, b''), (b'nonsense',), ())
    async with _client(target) as client:
        assert (await _send(client)).ok.body == b'whole'
        assert (await _send(client)).ok.body == b'whole'
        assert target.connections == 1
        assert isinstance((await _send(client)).error, MayHaveRun)
        assert isinstance((await _send(client)).error, MayHaveRun)
        hanging = (await _send(client, 50)).error
        assert (type(hanging), hanging.reason) == (MayHaveRun, Reason.DEADLINE)
        late = (await _send(client, -1)).error
        assert (type(late), late.reason) == (NotRun, Reason.DEADLINE)
        assert target.requests == 5
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
        alone = TargetClient(clock=Clock(), host='127.0.0.1', port=port)
        assert isinstance((await _send(alone)).error, NotRun)


@pytest.mark.anyio
async def test_stray_response_is_never_taken_for_an_answer() -> None:
    """A second response must not answer the next caller (P3)."""
    target = _Target((_WHOLE, _STRAY), (_WHOLE,))
    async with _client(target) as client:
        await _send(client)
        # The client closes the connection that brought the stray response.
        with anyio.fail_after(5):
            await target.gone.wait()
        assert (await _send(client)).ok.body == b'whole'
        target.scripts += [(_WHOLE + _STRAY,), (_WHOLE,)]
        assert isinstance((await _send(client)).error, MayHaveRun)
        assert (await _send(client)).ok.body == b'whole'


@pytest.mark.anyio
async def test_cancelled_call_closes_its_connection() -> None:
    """A target must learn that nobody waits for its work any more."""
    target = _Target(())
    async with _client(target) as client, anyio.create_task_group() as tasks:
        tasks.start_soon(_send, client)
        await target.seen.wait()
        tasks.cancel_scope.cancel()
    with anyio.fail_after(5):
        await target.gone.wait()
