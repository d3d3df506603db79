"""HTTP protocol of caller connections that does not go through ASGI.

On the users' platform nearly every request arrives on a new connection. The
ASGI protocol of ``uvicorn`` creates a scope, a cycle, an event and two messages
for each, which takes a third of the processor time that an entry node spends on
a request. The server of ``uvicorn`` and its parser ``httptools`` are still
used.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser
from logbook import Logger

from savorystand.clock import MS_PER_SECOND
from savorystand.gateway.idle_connections import close_longest_idle
from savorystand.gateway.incoming_request import IncomingRequest
from savorystand.gateway.incoming_request import max_head_bytes
from savorystand.gateway.incoming_request import too_large
from savorystand.gateway.protocol import BODY_IDLE_TIMEOUT_SECONDS
from savorystand.gateway.responses import encode_response
from savorystand.memory.errors import MemoryShortError
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.gateway.asgi import HttpResponse
    from savorystand.gateway.contexts import Request
    from savorystand.gateway.request_handler import RequestHandler

_log = Logger('savorystand')
# Bound on the complete requests of one connection that wait for an earlier one.
_MAX_PENDING_REQUESTS = 16
# Time for a complete body, the longest deadline that a request can have.
_BODY_TIMEOUT_SECONDS = 120
# Time in which further input is read and dropped after a refusal. If the
# connection were closed with unread input, the client would lose the refusal.
_DISCARD_SECONDS = 10
# Bound on this input, if the limit on bodies is not higher.
_MIN_DISCARD_BYTES = 67108864
# Bytes that have to arrive in less than a second to count as progress.
_PROGRESS_BYTES = 4096
# Objects of an open connection, without its requests.
_CONNECTION_BYTES = 4096
# The parser joins the parts of an incomplete header.
_HEAD_COPIES = 2
_MEMORY_RETRY_AFTER_MS = 1000
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)
_SERVER_ERROR = (
    b'HTTP/1.1 500 Internal Server Error\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)


# Most methods are callbacks of the parser, the event loop and the account.
class RequestProtocol(asyncio.Protocol):  # noqa: WPS214, WPS230
    """One connection of a caller, with a task for each request.

    Requests are served one at a time, in the order of their arrival.
    """

    __slots__ = (
        '_account',
        '_app',
        '_connections',
        '_counted_bytes',
        '_discard_bytes',
        '_input_ended',
        '_is_last_request',
        '_lingering',
        '_loop',
        '_message',
        '_message_since',
        '_moved_at',
        '_moved_bytes',
        '_parser',
        '_pending',
        '_reading_head',
        '_reading_message',
        '_serving_bytes',
        '_task',
        '_transport',
        '_unparsed_bytes',
        '_unsent_bytes',
        '_unsent_before',
        '_waiting_since',
        '_writing_paused',
        'had_request',
    )

    def __init__(
        self,
        config: Any,
        server_state: Any,
        app_state: object,
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        """Accept the arguments that ``uvicorn`` passes to its protocols."""
        self._app: RequestHandler = config.app
        self._account = self._app.memory
        self._connections: set[RequestProtocol] = server_state.connections
        self._loop = _loop or self._app.clock.loop()
        # None once further input is dropped.
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        # Complete requests, whether the connection is kept after each, and what
        # it counts in the account besides its body.
        self._pending: deque[tuple[Request, bool, int]] = deque()
        self._writing_paused = False
        # Further input is not served.
        self._input_ended = False
        # Input that may still be dropped before the connection is aborted.
        self._discard_bytes = 0
        # The last response has been written, and input is still read.
        self._lingering = False
        # No request is served after the one that is arriving.
        self._is_last_request = False
        self.had_request = False
        # Bytes received since the parser completed the headers or passed on a
        # part of a body.
        self._unparsed_bytes = 0
        # Times of the loop in seconds: when the last bytes of a body arrived,
        # the last response was written or the connection began; when the
        # request that arrives began; when the last progress was made.
        self._waiting_since = self._loop.time()
        self._message_since = self._waiting_since
        self._moved_at = self._waiting_since
        # Bytes received since then.
        self._moved_bytes = 0
        self._reading_head = True
        self._reading_message = False
        self._message = IncomingRequest()
        # Bytes in the account besides bodies: those of this connection and of
        # the head of an incomplete request, and of these the unsent ones of a
        # response.
        self._counted_bytes = 0
        self._unsent_bytes = 0
        # What the request in progress counts besides its body.
        self._serving_bytes = 0
        # Size of the write buffer at the last check.
        self._unsent_before = 0

    @property
    def progress_ms(self) -> float:
        """Return when bytes last moved in either direction."""
        still_seconds = self._loop.time() - self._moved_at
        return self._app.clock.now() - still_seconds * MS_PER_SECOND

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the incomplete request and unsent responses."""
        message = self._message
        held = self._unparsed_bytes + message.head_bytes + message.body_bytes
        if self._writing_paused and self._transport is not None:
            held += self._transport.get_write_buffer_size()
        return held

    def drop(self) -> None:
        """Refuse the request that arrives, or give up an unread response."""
        if self._writing_paused:
            self.abort()
        else:
            self._refuse_for_memory()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a connection; close an idle one if there are too many."""
        self._transport = cast('asyncio.Transport', transport)
        # Writing counts as paused while any byte is unsent.
        self._transport.set_write_buffer_limits(high=0)
        max_connections = self._app.max_connections
        if len(self._connections) >= max_connections:
            close_longest_idle(self._connections, max_connections)
        self._connections.add(self)
        if len(self._connections) > max_connections:
            self.abort()
            return
        try:
            self._count(_CONNECTION_BYTES)
        except MemoryShortError:
            self.abort()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; abort the connection beyond the bound."""
        if self._parser is None:
            self._discard_bytes -= len(received)
            if self._discard_bytes < 0:
                self.abort()
            return
        if not self._reading_head:
            self._waiting_since = self._loop.time()
        self._unparsed_bytes += len(received)
        self._moved_bytes += len(received)
        if self._moved_bytes >= _PROGRESS_BYTES:
            self._moved_bytes = 0
            self._moved_at = self._loop.time()
        try:
            self._parser.feed_data(received)
        except HttpParserUpgrade:
            # Upgrades to other protocols are not supported.
            self._input_ended = True
        except HttpParserError:
            self._reject_malformed()
            return
        if self._unparsed_bytes:
            self._check_head_size()
        self._count_input()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the disconnected client."""
        self._connections.discard(self)
        self._account.remove_holder(self)
        self._input_ended = True
        self._parser = None
        self._message = IncomingRequest()
        self._clear_pending()
        self._uncount(self._counted_bytes)
        self._unsent_bytes = 0
        if self._task is not None:
            self._task.cancel()
            # A task that has not started yet never gets to its own clean-up.
            self._end_serving()

    def pause_writing(self) -> None:
        """Start no further request while the client does not read."""
        self._writing_paused = True
        self._moved_at = self._loop.time()
        self._account.add_holder(self)

    def resume_writing(self) -> None:
        """Start the next pending request."""
        self._writing_paused = False
        self._uncount(self._unsent_bytes)
        self._unsent_bytes = 0
        self._waiting_since = self._loop.time()
        if not self._reading_message:
            self._account.remove_holder(self)
        self._start_next()

    def on_message_begin(self) -> None:
        """Reset the request and start the timeout for its headers."""
        self._reading_head = True
        self._reading_message = True
        self._message_since = self._loop.time()
        self._moved_at = self._message_since
        self._message = IncomingRequest()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's path and query."""
        self._message.add_url(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self._message.add_header(name, text, self._app.limits)

    def on_headers_complete(self) -> None:
        """Check the limits; start the body timeout."""
        self._reading_head = False
        self._unparsed_bytes = 0
        if self._input_ended:
            return
        refusal = self._message.complete_head(
            self._app.limits, self._app.clock.now()
        )
        if refusal is not None:
            self._refuse(refusal)
        elif self._message.expects_continue() and self._transport:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; refuse a request beyond the bounds."""
        self._unparsed_bytes = 0
        if self._input_ended:
            return
        try:
            refusal = self._message.add_body(
                body, self._app.limits, self._account, self
            )
        except MemoryShortError:
            self._refuse_for_memory()
            return
        if refusal is not None:
            self._refuse(refusal)

    def on_message_complete(self) -> None:
        """Start the request, or queue it behind the one in progress."""
        self._unparsed_bytes = 0
        self._reading_head = True
        self._reading_message = False
        self.had_request = True
        if self._input_ended:
            return
        if len(self._pending) >= _MAX_PENDING_REQUESTS:
            self.abort()
            return
        message = self._message
        counted = message.counted_bytes
        try:
            self._account.take(counted, total=counted, asker=self)
        except MemoryShortError:
            self._refuse_for_memory()
            return
        self._message = IncomingRequest()
        parser = cast('HttpRequestParser', self._parser)
        keep_alive = bool(parser.should_keep_alive())
        self._input_ended = self._is_last_request
        request = message.build(parser.get_method())
        self._pending.append((request, keep_alive, counted))
        self._start_next()

    def abort_if_timed_out(self) -> None:
        """Abort the connection if its client takes too long to send or read."""
        now = self._loop.time()
        if self._writing_paused and self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
            if unsent_bytes < self._unsent_before:
                self._moved_at = now
            self._unsent_before = unsent_bytes
        if self._task is None and now > self._timeout_at():
            self.abort()

    def idle_since(self) -> float | None:
        """Return since when no request has been in progress, None if one is."""
        if self._lingering:
            return self._waiting_since
        is_used = (
            self._task is not None
            or self._writing_paused
            or not self._reading_head
        )
        return None if is_used else self._waiting_since

    def shutdown(self) -> None:
        """Close the connection after the requests that have arrived.

        A request whose headers are complete is still read and served.
        """
        if not self._reading_head and not self._input_ended:
            self._is_last_request = True
            return
        self._input_ended = True
        if self._task is None and not self._pending:
            self._close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _timeout_at(self) -> float:
        limits = self._app.limits
        if self._lingering:
            return self._waiting_since + _DISCARD_SECONDS
        if self._writing_paused:
            return self._moved_at + BODY_IDLE_TIMEOUT_SECONDS
        if not self._reading_head:
            return min(
                self._waiting_since + BODY_IDLE_TIMEOUT_SECONDS,
                self._message_since + _BODY_TIMEOUT_SECONDS,
            )
        if self._reading_message:
            return self._message_since + limits.head_ms / MS_PER_SECOND
        return self._waiting_since + limits.idle_ms / MS_PER_SECOND

    def _count(self, size: int) -> None:
        counted = self._counted_bytes + size
        self._account.take(size, total=counted, asker=self)
        self._counted_bytes = counted

    def _uncount(self, size: int) -> None:
        self._account.give_back(size)
        self._counted_bytes -= size

    def _check_head_size(self) -> None:
        # Trailers and chunk extensions are subject to the same bound.
        max_bytes = max_head_bytes(self._app.limits)
        if self._unparsed_bytes <= max_bytes:
            return
        if self._input_ended:
            self._drop_input()
        else:
            self._refuse(too_large(f'head of more than {max_bytes} bytes'))

    def _count_input(self) -> None:
        """Count the head, and let an incomplete request give way."""
        if self._parser is None:
            return
        head_bytes = _CONNECTION_BYTES + self._unsent_bytes
        head_bytes += _HEAD_COPIES * self._unparsed_bytes
        head_bytes += self._message.head_bytes
        if head_bytes > self._counted_bytes:
            try:
                self._count(head_bytes - self._counted_bytes)
            except MemoryShortError:
                self._refuse_for_memory()
                return
        elif head_bytes < self._counted_bytes:
            self._uncount(self._counted_bytes - head_bytes)
        if self._reading_message:
            self._account.add_holder(self)
        elif not self._writing_paused:
            self._account.remove_holder(self)

    def _refuse_for_memory(self) -> None:
        self._refuse(
            NotRun(
                reason=Reason.OVERLOADED,
                detail='the node has no memory for the request',
                retry_after_ms=_MEMORY_RETRY_AFTER_MS,
            )
        )

    def _refuse(self, refusal: NotRun) -> None:
        # The rest of the request is not served. The connection is closed after
        # the response.
        self._drop_input()
        if self._task is None and not self._pending:
            self._write(self._app.refuse(refusal), close=True)

    def _drop_input(self) -> None:
        """Drop the request that arrives and all that follows it."""
        self._input_ended = True
        # The parser refers to this object and keeps parts of a head.
        self._parser = None
        self._discard_bytes = max(
            self._app.limits.body_bytes, _MIN_DISCARD_BYTES
        )
        self._message = IncomingRequest()
        self._unparsed_bytes = 0
        self._uncount(
            self._counted_bytes - _CONNECTION_BYTES - self._unsent_bytes
        )
        if not self._writing_paused:
            self._account.remove_holder(self)

    def _start_next(self) -> None:
        if self._task is None and self._pending and not self._writing_paused:
            request, keep_alive, counted = self._pending.popleft()
            self._serving_bytes = counted
            self._task = self._loop.create_task(
                self._serve_request(request, keep_alive)
            )

    async def _serve_request(self, request: Request, keep_alive: bool) -> None:
        try:
            response = await self._app.serve(request)
        except Exception:
            # An error in one request must not end the node and other requests.
            _log.exception('event=request_failed')
            self._fail_request()
            return
        finally:
            self._task = None
            self._end_serving()
        close = not keep_alive or self._app.closing
        self._write(response, close=close, head_only=request.method == 'HEAD')
        self._start_next()

    def _end_serving(self) -> None:
        self._account.give_back(self._serving_bytes)
        self._serving_bytes = 0

    def _write(
        self, response: HttpResponse, *, close: bool, head_only: bool = False
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        close = close or (self._input_ended and not self._pending)
        try:
            encoded = encode_response(
                response, close=close, head_only=head_only
            )
        except ValueError:
            _log.exception('event=request_failed')
            self._fail_request()
            return
        self._transport.writelines(encoded.parts)
        self._waiting_since = self._loop.time()
        if self._writing_paused:
            self._count_unsent(encoded.uncounted_bytes)
        if close:
            self._close()

    def _count_unsent(self, size: int) -> None:
        self._unsent_before = 0
        try:
            self._count(size)
        except MemoryShortError:
            self.abort()
            return
        self._unsent_bytes += size

    def _fail_request(self) -> None:
        if self._transport is not None:
            self._transport.write(_SERVER_ERROR)
        self._close()

    def _reject_malformed(self) -> None:
        if self._parser is None:
            # What follows a refused head need not be well-formed.
            return
        is_answered = self._input_ended
        self._drop_input()
        # Earlier requests still get their responses.
        if self._task is not None or self._pending:
            return
        if self._transport is not None and not is_answered:
            self._transport.write(_BAD_REQUEST)
        self._close()

    def _clear_pending(self) -> None:
        while self._pending:
            self._account.give_back(self._pending.popleft()[2])

    def _close(self) -> None:
        # Requests without a possible response are not started.
        self._clear_pending()
        if self._transport is None or self._transport.is_closing():
            return
        if self._reading_message and self._parser is not None:
            self._drop_input()
        may_linger = self._parser is None and self._transport.can_write_eof()
        if may_linger and not self._lingering:
            self._lingering = True
            self._waiting_since = self._loop.time()
            self._transport.write_eof()
        else:
            self._transport.close()
