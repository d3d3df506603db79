"""Minimal HTTP/1.1 client for latency measurements."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from savorystand.settings.node import Address

_MAX_RECEIVE_BYTES = 65536
_HEAD_END = b'\r\n\r\n'
_SUCCESS_PREFIX = b'HTTP/1.1 200'
_CONTENT_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)


class RawClientError(OSError):
    """A response has another status than 200, or no content length."""


class RawClient:
    """Sends one fixed request repeatedly on one connection.

    It parses only the status and the length of a response. Its cost, which
    is part of each measured latency, therefore stays small.
    """

    __slots__ = ('_request', '_stream')

    def __init__(self, *, stream: SocketStream, request: bytes) -> None:
        """Create a client that sends ``request`` on an open stream."""
        self._stream = stream
        self._request = request

    @classmethod
    async def connect(cls, address: Address, path: str) -> RawClient:
        """Connect to an address, for GET requests of ``path``.

        Raises:
            OSError: the connection attempt failed.
        """
        stream = await anyio.connect_tcp(address.host, address.port)
        head = f'GET {path} HTTP/1.1\r\nhost: {address.text()}\r\n\r\n'
        return cls(stream=stream, request=head.encode('latin-1'))

    async def send(self) -> None:
        """Send the request and wait for the complete response.

        Raises:
            RawClientError: the status is not 200, or the length is missing.
            EndOfStream: the connection was closed early.
        """
        await self._stream.send(self._request)
        received = await self._stream.receive(_MAX_RECEIVE_BYTES)
        while _HEAD_END not in received:
            received += await self._stream.receive(_MAX_RECEIVE_BYTES)
        head_end = received.index(_HEAD_END) + len(_HEAD_END)
        length = _CONTENT_LENGTH.search(received, 0, head_end)
        if length is None or not received.startswith(_SUCCESS_PREFIX):
            raise RawClientError(received[:head_end].decode('latin-1'))
        missing = head_end + int(length[1]) - len(received)
        while missing > 0:
            missing -= len(await self._stream.receive(missing))

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
