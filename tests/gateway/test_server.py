"""Tests for the sockets of HTTP listeners.

They guard against responses that wait 40 ms for a delayed acknowledgement,
which happens if Nagle's algorithm is enabled on accepted connections.
"""

from __future__ import annotations

import asyncio
import socket

import anyio

from savorystand.gateway.server import bind_tcp


def test_accepted_connections_send_without_delay() -> None:
    """Nagle's algorithm is disabled on connections of HTTP listeners."""
    assert anyio.run(_nodelay_of_accepted_connection) != 0


async def _nodelay_of_accepted_connection() -> int:
    accepted: asyncio.Future[int] = asyncio.Future()

    def record_option(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info('socket')
        option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        accepted.set_result(option)
        writer.close()

    sock = bind_tcp('127.0.0.1', 0)
    async with await asyncio.start_server(record_option, sock=sock):
        async with await anyio.connect_tcp(*sock.getsockname()):
            return await accepted
