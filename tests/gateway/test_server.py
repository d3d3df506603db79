"""Failure: answers wait 40 ms for a delayed acknowledgement."""

from __future__ import annotations

import asyncio
import socket

import anyio

from savorystand.gateway.server import bind_tcp


def test_accepted_connections_send_without_delay() -> None:
    """Nagle's algorithm must be off on connections of the HTTP listeners."""
    assert anyio.run(_accepted_option) != 0


async def _accepted_option() -> int:
    accepted: asyncio.Future[int] = asyncio.Future()

    def note(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info('socket')
        option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        accepted.set_result(option)
        writer.close()

    sock = bind_tcp('127.0.0.1', 0)
    async with await asyncio.start_server(note, sock=sock):
        async with await anyio.connect_tcp(*sock.getsockname()):
            return await accepted
