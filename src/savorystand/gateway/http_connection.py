"""One HTTP/1.1 connection to the target.

It is an ``asyncio`` protocol, like the connections of ``uvicorn``. A stream of
``anyio`` would pause and resume reading around each response and need an extra
iteration of the event loop after each request.

``httpcore``, with a parser in Python, takes about 0.3 ms of processor time for
an exchange, more than half of the latency goal. ``httptools``, the parser of
``uvicorn``, takes a tenth of that; see docs/decisions/latency.md for figures.
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

# Function that returns True if headers are those of the response to the request
# in progress.
ResponseMatcher: TypeAlias = Callable[['Headers'], bool]
# Function that gets the status and headers of each final response.
HeadObserver: TypeAlias = Callable[[int, 'Headers'], None]

_MAX_HEADER_BYTES = 65536
_MIN_FINAL_STATUS = 200
# Data that stays unacknowledged for this time ends a connection (RFC 5482), so
# that a connection to an unreachable host fails within 2 s, but one to a slow
# target does not.
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
    """Collects one response from the callbacks of the parser."""

    __slots__ = (
        '_body_size',
        '_matcher',
        '_on_head',
        '_parser',
        '_unparsed_bytes',
        'body_parts',
        'complete',
        'headers',
        'headers_complete',
        'keep_alive',
        'must_close',
        'status',
    )

    def __init__(
        self, matcher: ResponseMatcher | None, on_head: HeadObserver | None
    ) -> None:
        self._matcher = matcher
        self._on_head = on_head
        self._parser = HttpResponseParser(self)
        self._body_size = 0
        # Bytes received since the parser completed the headers or passed on a
        # part of the body.
        self._unparsed_bytes = 0
        self.headers_complete = False
        # The connection cannot be reused: it has ended, or malformed bytes or
        # another response arrived on it.
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
        # Trailers and chunk extensions are subject to the same bound.
        if self._unparsed_bytes > _MAX_HEADER_BYTES and not self.complete:
            raise TargetProtocolError(
                f'headers or trailers of the response exceed '
                f'{_MAX_HEADER_BYTES} bytes'
            )

    def on_message_begin(self) -> None:
        if not self.complete:
            return
        self.must_close = True
        if self._matcher is None:
            raise TargetProtocolError(
                'received a second response after the expected one'
            )

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
        if self._on_head is not None and self.status >= _MIN_FINAL_STATUS:
            self._on_head(self.status, tuple(self.headers))

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self._unparsed_bytes = 0
        self._body_size += len(body)
        if self._body_size > MAX_BODY_BYTES:
            raise TargetProtocolError(
                f'body of the response exceeds {MAX_BODY_BYTES} bytes'
            )
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.status < _MIN_FINAL_STATUS:
            # Interim responses (RFC 9110, section 15.2) precede the final one.
            self._reset()
            return
        if not self._matches_request():
            # A late response to an earlier request. The response to the
            # current one may follow.
            self.must_close = True
            self._reset()
            return
        # The parser resets its value after this callback.
        self.keep_alive = bool(self._parser.should_keep_alive())
        self.complete = True

    def receive_eof(self) -> bool:
        """Process the end of the stream; return True if it ends the response.

        It ends the body of a response that has neither a content length nor a
        transfer encoding (RFC 9112, section 6.3).
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
    """Sends one request at a time and reads its complete response."""

    __slots__ = (
        '_clock',
        '_done',
        '_reader',
        '_reusable',
        '_transport',
        'is_new',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Create a connection without a transport; ``connect`` opens one."""
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._reader: _ResponseReader | None = None
        self._done: asyncio.Future[None] | None = None
        self._reusable = True
        # True until the first request is sent.
        self.is_new = True

    @classmethod
    async def connect(
        cls, *, clock: Clock, host: str, port: int
    ) -> HttpConnection:
        """Return an open connection to ``host`` and ``port``.

        Raises:
            OSError: the target is unreachable or refuses the connection.
        """
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: cls(clock=clock), host, port
        )
        return conn

    @property
    def reusable(self) -> bool:
        """Return True if another request can be sent on this connection."""
        return self._reusable

    async def exchange(
        self,
        request: bytes,
        remaining_ms: float,
        matcher: ResponseMatcher | None = None,
        on_head: HeadObserver | None = None,
    ) -> Response:
        """Send an encoded request and return the complete response.

        With ``matcher`` responses to other requests are discarded. Without it
        a second response is an error if it arrives together with the first,
        because either could belong to the request. ``on_head`` is called as
        soon as the headers of a response are complete.

        Raises:
            TargetProtocolError: the connection is closed, or the response is
                malformed, too large or truncated.
            TimeoutError: it is incomplete after ``remaining_ms`` milliseconds.
            OSError: the connection failed.
        """
        if self._transport is None or not self._reusable:
            raise TargetProtocolError('connection to the target is closed')
        self._reusable = False
        self.is_new = False
        reader = _ResponseReader(matcher, on_head)
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
        """Abort the connection, which cancels the request at the target."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = cast('asyncio.Transport', transport)
        raw = transport.get_extra_info('socket')
        for level, option, setting in _SOCKET_OPTIONS:
            raw.setsockopt(level, option, setting)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes of the response."""
        if self._reader is None:
            # Without a request in progress, these bytes would be mistaken for
            # the response to the next request.
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
        """Complete the exchange in progress.

        It fails unless the end of the stream completes the response.
        """
        self._reusable = False
        if (
            exc is None
            and self._reader is not None
            and self._reader.receive_eof()
        ):
            self._finish(None)
            return
        self._finish(
            exc or TargetProtocolError('target closed the connection early')
        )

    def _finish(self, failure: Exception | None) -> None:
        if self._done is None or self._done.done():
            return
        if failure is None:
            self._done.set_result(None)
        else:
            self._done.set_exception(failure)
