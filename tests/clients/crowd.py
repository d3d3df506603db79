"""Crowds of clients that do not behave."""

from __future__ import annotations

import asyncio
import socket
from contextlib import contextmanager
from contextlib import suppress
from itertools import repeat
from typing import TYPE_CHECKING

import anyio

from tests.clients.deployment import HOST

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from savorystand.settings.node import Address

CHUNKED = 'transfer-encoding: chunked'
# Bounds the time of clients that the node neither reads nor closes.
_MAX_SEND_SECONDS = 30
# So that a node cannot hand a long answer to the system.
_RECEIVE_BYTES = 4096


def request_head(*headers: str, path: str = '/large/a') -> bytes:
    """Return the head of a request that has two minutes."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'host: {HOST}',
        'request-id: crowd',
        'deadline-ms: 120000',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def announcing_head(size: int) -> bytes:
    """Return the head of a request that announces a body of ``size`` bytes."""
    return request_head(f'content-length: {size}')


def endless_head(size: int) -> bytes:
    """Return the first bytes of a head, with a header of ``size`` bytes."""
    start = request_head('x: x').removesuffix(b'\r\n\r\n')
    return start.ljust(len(start) + size, b'x')


def chunks(size: int, count: int) -> bytes:
    """Return ``count`` chunks of a chunked body, without the last chunk."""
    return (b'%x\r\n%b\r\n' % (size, bytes(size))) * count


class Crowd:
    """Connections that stay open until the end of the test."""

    def __init__(self, entry: Address) -> None:
        self._entry = entry
        self._socks: list[socket.socket] = []

    async def send(
        self, count: int, head: bytes = b'', part: bytes = b'', times: int = 1
    ) -> None:
        """Send ``head`` on each of ``count`` new connections.

        It is followed by ``part``, that number of times. A client whose
        connection fails gives up. None reads anything.
        """
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._send, (head, *repeat(part, times)))

    async def trickle(self, byte: bytes) -> None:
        """Send a byte on each connection that is still open."""
        for sock in self._socks:
            with suppress(OSError):
                sock.send(byte)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._socks:
            sock.close()

    async def _send(self, payloads: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        with suppress(OSError), anyio.move_on_after(_MAX_SEND_SECONDS):
            await loop.sock_connect(sock, (self._entry.host, self._entry.port))
            for payload in payloads:
                await loop.sock_sendall(sock, payload)


@contextmanager
def open_crowd(entry: Address) -> Iterator[Crowd]:
    """Return a crowd at the first node; its connections are closed at the end."""
    crowd = Crowd(entry)
    try:
        yield crowd
    finally:
        crowd.close()
