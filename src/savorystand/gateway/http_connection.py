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
from typing import TYPE_CHECKING
from typing import cast

from savorystand.gateway.errors import TargetProtocolError
from savorystand.gateway.response_reader import ResponseReader

if TYPE_CHECKING:
    from savorystand.call import Body
    from savorystand.call import Response
    from savorystand.clock import Clock
    from savorystand.clock import Timer
    from savorystand.gateway.response_reader import HeadObserver
    from savorystand.gateway.response_reader import ResponseMatcher
    from savorystand.memory.account import MemoryAccount

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


class HttpConnection(asyncio.Protocol):
    """Sends one request at a time and reads its complete response."""

    __slots__ = (
        '_account',
        '_clock',
        '_done',
        '_reader',
        '_reusable',
        '_transport',
        'is_new',
        'progress_ms',
    )

    def __init__(self, *, clock: Clock, account: MemoryAccount) -> None:
        """Create a connection without a transport; ``connect`` opens one."""
        self._clock = clock
        self._account = account
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._done: asyncio.Future[None] | None = None
        self._reusable = True
        # True until the first request is sent.
        self.is_new = True
        self.progress_ms = clock.now()

    @classmethod
    async def connect(
        cls, *, clock: Clock, host: str, port: int, account: MemoryAccount
    ) -> HttpConnection:
        """Return an open connection to ``host`` and ``port``.

        The bodies of responses count towards ``account``.

        Raises:
            OSError: the target is unreachable or refuses the connection.
        """
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: cls(clock=clock, account=account), host, port
        )
        return conn

    @property
    def reusable(self) -> bool:
        """Return True if another request can be sent on this connection."""
        return self._reusable

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the response that arrives."""
        return 0 if self._reader is None else self._reader.held_bytes

    def drop(self) -> None:
        """Give up the response that arrives."""
        self.fail(
            TargetProtocolError('the node has no memory for the response')
        )

    async def exchange(  # noqa: WPS211 - what belongs to one exchange
        self,
        head: bytes,
        body: Body,
        remaining_ms: float,
        matcher: ResponseMatcher | None = None,
        on_head: HeadObserver | None = None,
    ) -> Response:
        """Send an encoded head and a body; return the complete response.

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
        reader = ResponseReader(
            matcher=matcher,
            on_head=on_head,
            account=self._account,
            holder=self,
        )
        self._account.add_holder(self)
        done = self._clock.loop().create_future()
        self._reader = reader
        self._done = done
        self._transport.writelines((head, body) if body else (head,))
        timer = self._clock.call_later(
            remaining_ms, lambda: self.fail(TimeoutError())
        )
        try:
            await done
            response = reader.response()
        finally:
            # The exception of a future refers to this frame, which would keep
            # the request until a cyclic collection.
            del done, body
            self._end_exchange(reader, timer)
        self._reusable = (
            reader.keep_alive
            and not reader.must_close
            and not self._transport.is_closing()
        )
        return response

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
        reader = self._reader
        if reader is None:
            # Without a request in progress, these bytes would be mistaken for
            # the response to the next request.
            self.close()
            return
        self.progress_ms = self._clock.now()
        try:
            reader.feed(received)
        except TargetProtocolError as exc:
            self.fail(exc)
            return
        if reader.complete:
            self._finish()

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
            self._finish()
            return
        self.fail(
            exc or TargetProtocolError('target closed the connection early')
        )

    def fail(self, failure: Exception) -> None:
        """End the exchange in progress, if any, with an error.

        Further bytes of the target close the connection.
        """
        self._reader = None
        if self._done is not None and not self._done.done():
            self._done.set_exception(failure)

    def _end_exchange(self, reader: ResponseReader, timer: Timer) -> None:
        timer.cancel()
        self._done = None
        self._reader = None
        self._account.remove_holder(self)
        reader.close()

    def _finish(self) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(None)
