"""Failures: bytes of another response are taken for the answer."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from savorystand.clock import Clock
from savorystand.dispatch.local_pool import LocalPool
from savorystand.gateway.target_client import TargetClient
from savorystand.kernel.kernel import Kernel
from savorystand.platform.worker_adapter import WorkerAdapter
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_call

if TYPE_CHECKING:
    from savorystand.call import Outcome

pytestmark = pytest.mark.anyio
# Closing drops what is unsent and resets the connection.
_RESET = struct.pack('ii', 1, 0)
_END = b'\r\n\r\n'


def _response(request_id: str, body: str, *more: str) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request_id}',
        f'Content-Length: {len(body)}',
        *more,
    )
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n{body}'.encode()


class _Instance(LocalPool):
    def __init__(self, instance: str) -> None:
        self.instance = instance


async def _exchange(
    *chunks: bytes, reset: bool = False, count: int = 1
) -> tuple[list[Outcome], list[bytes]]:
    """Return the outcomes of calls to a worker that sends ``chunks``."""
    heads: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        heads.append(await reader.readuntil(_END))
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        if reset:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    kernel = Kernel()
    kernel.register('local pool', _Instance('i-7'))
    async with server:
        client = TargetClient(
            clock=Clock(),
            host='127.0.0.1',
            port=server.sockets[0].getsockname()[1],
            adapter=WorkerAdapter(kernel=kernel),
        )
        outcomes = []
        for _ in range(count):
            call = make_call(deadline_ms=Clock().now() + 5000)
            context = replace(call.context, request_id='mine')
            outcomes.append(
                await client.send(replace(call, context=context), '')
            )
    return outcomes, heads


async def test_dropped_answer_takes_no_room_of_the_own() -> None:
    """Each of two bodies may be long; their sum is no bound."""
    long = 'x' * 9437184
    outcomes, _ = await _exchange(
        _response('other', long), _response('mine', long)
    )
    assert len(outcomes[0].ok.body) == len(long)


async def test_answer_to_another_request_is_dropped() -> None:
    """A late answer may arrive where the next one is expected."""
    stray = _response('other', 'stray')
    outcomes, heads = await _exchange(stray + _response('mine', 'whole'))
    assert outcomes[0].ok.body == b'whole'
    assert b'expected-instance: i-7' in heads[0]


async def test_bytes_after_an_answer_spoil_only_the_connection() -> None:
    """What follows a whole answer belongs to no request."""
    for extra in (_response('mine', 'again'), b'no response at all'):
        outcomes, heads = await _exchange(
            _response('mine', 'whole') + extra, count=2
        )
        assert [one.ok.body for one in outcomes] == [b'whole', b'whole']
        assert len(heads) == 2


async def test_answer_without_length() -> None:
    """It ends with its connection, but a reset leaves it cut."""
    head = b'HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n'
    whole, _ = await _exchange(head, b'all of it')
    assert whole[0].ok.body == b'all of it'
    cut, _ = await _exchange(head, b'a part', reset=True)
    assert isinstance(cut[0].error, MayHaveRun)


@pytest.mark.parametrize(
    ('status', 'more', 'reason'),
    [
        ('503 Busy', 'Not-Executed: 1', Reason.TARGET_REFUSED),
        ('421 Other', 'Instance-Id: i-8', Reason.DRAINING),
    ],
)
async def test_refusal_of_the_worker(
    status: str, more: str, reason: Reason
) -> None:
    """Only what the worker itself says it has not run is not-run."""
    refusal = _response('mine', '', more).replace(b'200 OK', status.encode())
    outcomes, _ = await _exchange(refusal)
    assert isinstance(outcomes[0].error, NotRun)
    assert outcomes[0].error.reason is reason


async def test_failure_of_the_worker_is_its_answer() -> None:
    """A status 503 without the refusing header may stand for a run."""
    failed = _response('mine', 'failed').replace(b'200 OK', b'503 Failed')
    outcomes, _ = await _exchange(failed)
    assert outcomes[0].ok.status == 503
