"""Guards against bodies that stay in memory until a cyclic collection.

A target that sends bodies without end, one after another, would fill the memory
of its node, and end the requests of all its callers with it (letter 4).
"""

from __future__ import annotations

import gc
import tracemalloc
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.gateway import response_reader
from savorystand.gateway.target_client import TargetClient
from tests.policy_doubles import make_binding
from tests.policy_doubles import make_call
from tests.servers import stream_server

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from savorystand.call import Outcome

pytestmark = pytest.mark.anyio
_EXCHANGES = 20
_BODY_BYTES = 200_000
_HEAD = b'HTTP/1.1 200 OK\r\n'
_WHOLE = b'content-length: 200000\r\n\r\n%s' % (b'y' * _BODY_BYTES)
_PART = b'y' * 10_000


@contextmanager
def _collector_off() -> Iterator[None]:
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def _serve_endless(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
) -> None:
    try:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_HEAD + head)
        while head != _WHOLE:
            writer.write(_PART)
            await writer.drain()
        await reader.read()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def _send(port: int, body: bytes, remaining_ms: float) -> Outcome:
    clock = Clock()
    client = TargetClient(clock=clock, host='127.0.0.1', port=port)
    call = make_call(deadline_ms=clock.now() + remaining_ms, body=body)
    outcome = await client.send(call, 'execution', make_binding())
    for _, _, conn in client._idle:
        conn.close()
    await anyio.sleep(0)
    return outcome


@pytest.mark.parametrize(
    'head', [b'\r\n', b'x: ', _WHOLE], ids=['body', 'header', 'whole']
)
async def test_ended_response_is_free_without_a_collection(
    monkeypatch: pytest.MonkeyPatch, head: bytes
) -> None:
    """The response fails or is delivered; its body must be gone after both."""
    monkeypatch.setattr(response_reader, 'MAX_BODY_BYTES', _BODY_BYTES)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve_endless(reader, writer, head)

    async with stream_server(serve) as port:
        await _send(port, b'', 60_000)
        with _collector_off():
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(_EXCHANGES):
                await _send(port, b'', 60_000)
            after, _ = tracemalloc.get_traced_memory()
    # Less than two bodies, whatever the number of exchanges.
    assert after - before < 2 * _BODY_BYTES


async def test_body_of_a_failed_call_is_free_without_a_collection() -> None:
    """The target does not respond before the deadline."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async with stream_server(serve) as port:
        await _send(port, b'', 20)
        with _collector_off():
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(_EXCHANGES):
                await _send(port, b'z' * _BODY_BYTES, 20)
            after, _ = tracemalloc.get_traced_memory()
    assert after - before < 2 * _BODY_BYTES
