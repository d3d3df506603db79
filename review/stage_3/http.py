"""HTTP/1.1 messages on asyncio streams, for clients and stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

HEAD_END = b'\r\n\r\n'


@dataclass(slots=True, kw_only=True)
class Message:
    """A request or response; ``start`` is its first line."""

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b''

    def get(self, name: str) -> str:
        """Return the first value of a header, empty if it is missing."""
        for key, text in self.headers:
            if key == name:
                return text
        return ''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split()[0]

    @property
    def path(self) -> str:
        """Return the path of a request, with its query."""
        return self.start.split()[1]


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with a content length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + HEAD_END + body


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a message up to the end of its head.

    Raises:
        asyncio.IncompleteReadError: the connection has ended.
    """
    head = await reader.readuntil(HEAD_END)
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = [(name.lower(), text.strip()) for name, _, text in pairs]
    return Message(start=first, headers=headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a complete message; its body has a content length."""
    message = await read_head(reader)
    length = int(message.get('content-length') or 0)
    message.body = await reader.readexactly(length)
    return message


async def exchange(
    address: tuple[str, int], request: bytes, timeout_s: float
) -> Message:
    """Send a request on a new connection and return the response.

    Raises:
        OSError: the connection failed.
        TimeoutError: there is no complete response in time.
        asyncio.IncompleteReadError: the connection ended before it.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.close()
