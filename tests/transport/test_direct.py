"""Tests of the TCP streams of nodes without TLS.

They guard against streams that lose, duplicate or truncate bytes, and that hide
that a connection was reset or closed.
"""

from __future__ import annotations

import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.transport.direct import DirectListener
from savorystand.transport.direct import DirectNetwork
from savorystand.transport.direct import pump
from tests.ports import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

pytestmark = pytest.mark.anyio
_LARGE_BODY = bytes(3000000)
# With this linger option, close sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


@asynccontextmanager
async def _connected_pair() -> AsyncIterator[tuple[ByteStream, ByteStream]]:
    """Yield the client and the server end of a connection."""
    port = free_port()
    accepted: list[ByteStream] = []
    connected = anyio.Event()

    async def accept(stream: ByteStream) -> None:
        accepted.append(stream)
        connected.set()

    listener = DirectListener(host='127.0.0.1', port=port)
    await listener.bind()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        client = await DirectNetwork().connect('127.0.0.1', port)
        await connected.wait()
        yield client, accepted[0]
        await client.aclose()
        await accepted[0].aclose()
        tasks.cancel_scope.cancel()


async def test_all_bytes_arrive_in_order_before_the_end() -> None:
    """A sender faster than the reader has to wait, and no byte is lost."""
    sent = b''.join((_LARGE_BODY, b'last'))
    received = bytearray()
    async with _connected_pair() as (client, server_side):

        async def send() -> None:
            await client.send(_LARGE_BODY)
            await client.send(b'last')
            await client.send_eof()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            with anyio.fail_after(30):
                await pump(server_side, received.extend)
    assert received == sent


async def test_reset_raises_broken_resource_error() -> None:
    """A reset connection is not taken for one that was closed."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
        client = await DirectNetwork().connect('127.0.0.1', port)
        server_side, _ = server.accept()
        server_side.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
        server_side.close()
        with anyio.fail_after(5), pytest.raises(anyio.BrokenResourceError):
            await pump(client, bytearray().extend)
        await client.aclose()


async def test_consumer_error_ends_the_pump() -> None:
    """An error of the consumer, such as a malformed frame, ends the pump."""
    async with _connected_pair() as (client, server_side):

        def reject(received: bytes) -> None:
            raise ValueError(received)

        await client.send(b'bad')
        with pytest.raises(ValueError, match='bad'):
            await pump(server_side, reject)


async def test_send_on_closed_stream_raises() -> None:
    """Bytes written after closing are reported as not sent."""
    async with _connected_pair() as (client, _):
        await client.aclose()
        with pytest.raises(anyio.ClosedResourceError):
            await client.send(b'late')
