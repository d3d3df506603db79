"""One HTTP/1.1 connection to the target.

``httpcore`` spends about 0.5 ms of processor time on an exchange, most of it
in its pure Python parser, which alone is the whole latency goal. ``httptools``,
the parser that ``uvicorn`` uses, does the same in C; figures in
docs/decisions/latency.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from httptools import HttpParserError
from httptools import HttpResponseParser

from savorystand.call import Answer
from savorystand.gateway.errors import TargetProtocolError
from savorystand.transport.conversion import MAX_BODY_BYTES

if TYPE_CHECKING:
    from anyio.abc import ByteStream

_RECEIVE_BYTES = 65536
_MAX_HEADER_BYTES = 65536
_FIRST_FINAL_STATUS = 200


class _ResponseReader:
    """Collects one response from the parser's callbacks."""

    __slots__ = (
        '_parser',
        '_size',
        'complete',
        'headers',
        'keep_alive',
        'parts',
        'status',
    )

    def __init__(self) -> None:
        self._parser = HttpResponseParser(self)
        self._size = 0
        self.headers: list[tuple[str, str]] = []
        self.parts: list[bytes] = []
        self.status = 0
        self.complete = False
        self.keep_alive = False

    def feed(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except HttpParserError as exc:
            raise TargetProtocolError(str(exc)) from exc

    def on_header(self, name: bytes, text: bytes) -> None:
        self._grow(len(name) + len(text), _MAX_HEADER_BYTES)
        decoded = (name.decode('latin-1').lower(), text.decode('latin-1'))
        self.headers.append(decoded)

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()
        self._size = 0

    def on_body(self, body: bytes) -> None:
        self._grow(len(body), MAX_BODY_BYTES)
        self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.status < _FIRST_FINAL_STATUS:
            # Interim responses (RFC 9110, section 15.2) precede the answer.
            self.headers.clear()
            return
        # The parser resets this after the callback.
        self.keep_alive = bool(self._parser.should_keep_alive())
        self.complete = True

    def _grow(self, size: int, bound: int) -> None:
        self._size += size
        if self._size > bound:
            raise TargetProtocolError(f'response exceeds {bound} bytes')


class HttpConnection:
    """Sends one request at a time and reads its whole response."""

    __slots__ = ('_reusable', '_stream')

    def __init__(self, *, stream: ByteStream) -> None:
        """Use an open stream."""
        self._stream = stream
        self._reusable = True

    @property
    def reusable(self) -> bool:
        """Return True if another request may follow on this connection."""
        return self._reusable

    async def exchange(self, request: bytes) -> Answer:
        """Send an encoded request and return the whole response.

        Raises:
            TargetProtocolError: the response is malformed, too long or cut.
            anyio.BrokenResourceError: the connection broke.
        """
        self._reusable = False
        await self._stream.send(request)
        reader = _ResponseReader()
        while not reader.complete:
            reader.feed(await self._receive())
        self._reusable = reader.keep_alive
        return Answer(
            status=reader.status,
            headers=tuple(reader.headers),
            body=b''.join(reader.parts),
        )

    async def close(self) -> None:
        """Close at once; the target sees it as cancellation."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream as exc:
            raise TargetProtocolError('connection closed early') from exc
