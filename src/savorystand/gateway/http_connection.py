"""One HTTP/1.1 connection to the target.

A protocol on the event loop's transport, as ``uvicorn`` has it towards
callers: a stream of ``anyio`` pauses and resumes reading around each response
and takes an extra turn of the loop after each request.

``httpcore``, with a parser in Python, spends about 0.3 ms of processor time on
an exchange, more than half of the latency goal. With ``httptools``, the parser
that ``uvicorn`` uses, it is a tenth; figures in docs/decisions/latency.md.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import cast

from httptools import HttpParserError
from httptools import HttpResponseParser

from savorystand.call import Response
from savorystand.gateway.errors import TargetProtocolError
from savorystand.gateway.headers import header_name
from savorystand.transport.conversion import MAX_BODY_BYTES

if TYPE_CHECKING:
    from savorystand.call import Headers
    from savorystand.clock import Clock

# Tells by its headers whether a response answers the request in progress.
ResponseMatcher: TypeAlias = Callable[['Headers'], bool]

_MAX_HEADER_BYTES = 65536
_MIN_FINAL_STATUS = 200
# Unacknowledged data older than this ends a connection (RFC 5482), so that
# one that went silent fails within 2 s while a slow target does not.
_TCP_USER_TIMEOUT_MS = 1500
_TCP_KEEPALIVE_SECONDS = 1
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _TCP_KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _TCP_KEEPALIVE_SECONDS),
)


class _ResponseReader:
    """Collects one response from the parser's callbacks."""

    __slots__ = (
        '_matcher',
        '_parser',
        '_body_size',
        '_unparsed_bytes',
        'complete',
        'headers',
        'headers_complete',
        'keep_alive',
        'body_parts',
        'must_close',
        'status',
    )

    def __init__(self, matcher: ResponseMatcher | None) -> None:
        self._matcher = matcher
        self._parser = HttpResponseParser(self)
        self._body_size = 0
        # Bytes since the parser last finished a head or a part of a body.
        self._unparsed_bytes = 0
        self.headers_complete = False
        # Bytes of some other response arrived: nothing may follow.
        self.must_close = False
        self.headers: list[tuple[str, str]] = []
        self.body_parts: list[bytes] = []
        self.status = 0
        self.complete = False
        self.keep_alive = False

    def feed(self, received: bytes) -> None:
        self._unparsed_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except HttpParserError as exc:
            self.must_close = True
            if not self.complete or self._matcher is None:
                raise TargetProtocolError(str(exc)) from exc
        # Trailers and chunk extensions count like a head.
        if self._unparsed_bytes > _MAX_HEADER_BYTES and not self.complete:
            raise TargetProtocolError('head of the response is too long')

    def on_message_begin(self) -> None:
        if not self.complete:
            return
        self.must_close = True
        if self._matcher is None:
            raise TargetProtocolError('a second response follows the first')

    def on_header(self, name: bytes, text: bytes) -> None:
        if self.complete:
            return
        self.headers.append((header_name(name), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        self.headers_complete = True
        self._unparsed_bytes = 0

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self._unparsed_bytes = 0
        self._body_size += len(body)
        if self._body_size > MAX_BODY_BYTES:
            raise TargetProtocolError(f'body exceeds {MAX_BODY_BYTES} bytes')
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status < _MIN_FINAL_STATUS:
            # Interim responses (RFC 9110, section 15.2) precede the answer.
            self._reset()
            return
        if not self._matches_request():
            # The late answer to an earlier request; the own one may follow.
            self.must_close = True
            self._reset()
            return
        # The parser resets this after the callback.
        self.keep_alive = bool(self._parser.should_keep_alive())
        self.complete = True

    def receive_eof(self) -> bool:
        """Take the end of the connection; return True if it ends a body.

        A response without a length or chunks ends so (RFC 9112, section 6.3).
        """
        if self.complete or not self.headers_complete:
            return False
        names = {name for name, _ in self.headers}
        framing_headers = names & {'content-length', 'transfer-encoding'}
        if framing_headers or not self._matches_request():
            return False
        self.must_close = True
        self.complete = True
        return True

    def _matches_request(self) -> bool:
        return self._matcher is None or self._matcher(tuple(self.headers))

    def _reset(self) -> None:
        self.headers.clear()
        self.body_parts.clear()
        self._body_size = 0
        self.headers_complete = False


class HttpConnection(asyncio.Protocol):
    """Sends one request at a time and reads its whole response."""

    __slots__ = ('_clock', '_done', '_reader', '_reusable', '_transport')

    def __init__(self, *, clock: Clock) -> None:
        """Wait for the transport; see ``connect``."""
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._reader: _ResponseReader | None = None
        self._done: asyncio.Future[None] | None = None
        self._reusable = True

    @classmethod
    async def connect(
        cls, *, clock: Clock, host: str, port: int
    ) -> HttpConnection:
        """Open a connection.

        Raises:
            OSError: the target is unreachable or refuses.
        """
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: cls(clock=clock), host, port
        )
        return conn

    @property
    def reusable(self) -> bool:
        """Return True if another request may follow on this connection."""
        return self._reusable

    async def exchange(
        self,
        request: bytes,
        remaining_ms: float,
        matcher: ResponseMatcher | None = None,
    ) -> Response:
        """Send an encoded request and return the whole response.

        With ``matcher`` responses to other requests are dropped. Without it
        a second response makes the first one doubtful.

        Raises:
            TargetProtocolError: the response is malformed, too long or cut.
            TimeoutError: it is not whole after ``remaining_ms`` milliseconds.
            OSError: the connection broke.
        """
        if self._transport is None or not self._reusable:
            raise TargetProtocolError('connection is closed')
        self._reusable = False
        reader = _ResponseReader(matcher)
        done = self._clock.loop().create_future()
        self._reader = reader
        self._done = done
        self._transport.write(request)
        timer = self._clock.call_later(
            remaining_ms, lambda: self._finish(TimeoutError())
        )
        try:
            await done
        finally:
            timer.cancel()
            self._reader = None
        self._reusable = (
            reader.keep_alive
            and not reader.must_close
            and not self._transport.is_closing()
        )
        return Response(
            status=reader.status,
            headers=tuple(reader.headers),
            body=b''.join(reader.body_parts),
        )

    def close(self) -> None:
        """Close at once; the target sees it as cancellation."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the socket."""
        self._transport = cast('asyncio.Transport', transport)
        raw = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            raw.setsockopt(level, option, setting)

    def data_received(self, received: bytes) -> None:
        """Parse a part of the response."""
        if self._reader is None:
            # Nothing was asked: what follows would be taken for the answer.
            self.close()
            return
        try:
            self._reader.feed(received)
        except TargetProtocolError as exc:
            self._finish(exc)
            return
        if self._reader.complete:
            self._finish(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._reusable = False
        if (
            exc is None
            and self._reader is not None
            and self._reader.receive_eof()
        ):
            self._finish(None)
            return
        self._finish(exc or TargetProtocolError('connection closed early'))

    def _finish(self, failure: Exception | None) -> None:
        if self._done is None or self._done.done():
            return
        if failure is None:
            self._done.set_result(None)
        else:
            self._done.set_exception(failure)
