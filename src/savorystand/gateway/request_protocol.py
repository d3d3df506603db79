"""Requests of callers, taken from the parser without ASGI in between.

On the users' platform nearly every request comes on a connection of its own.
``uvicorn`` builds a scope, a cycle, an event and two messages for each, which
is a third of the processor time that an entry node spends on a request. Its
server and ``httptools``, the parser that it uses, stay.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import cast

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser
from logbook import Logger

from savorystand.gateway.asgi import MAX_HEADER_BYTES
from savorystand.gateway.asgi import MAX_HEADERS
from savorystand.gateway.asgi import MAX_UNFINISHED_BYTES
from savorystand.gateway.contexts import Request
from savorystand.gateway.headers import header_name
from savorystand.gateway.protocol import BODY_IDLE_TIMEOUT_SECONDS
from savorystand.gateway.protocol import HEAD_TIMEOUT_SECONDS
from savorystand.gateway.protocol import MAX_CONNECTIONS
from savorystand.gateway.protocol import MAX_HEAD_BYTES
from savorystand.gateway.responses import encode_response
from savorystand.transport.bounds import MAX_PATH_BYTES
from savorystand.transport.conversion import MAX_BODY_BYTES
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.clock import Clock
    from savorystand.gateway.asgi import HttpResponse
    from savorystand.verdict import Refusal

_log = Logger('savorystand')
# Whole requests of one connection that wait for the one before them.
_MAX_PENDING_REQUESTS = 16
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)
_SERVER_ERROR = (
    b'HTTP/1.1 500 Internal Server Error\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)


class RequestHandler(Protocol):
    """What a listener without ASGI asks of its application.

    ``closing`` tells that clients are asked to close after each answer,
    ``unfinished_bytes`` counts the bytes of bodies that have arrived in part.
    """

    clock: Clock
    closing: bool
    unfinished_bytes: int

    async def serve(self, request: Request) -> HttpResponse:
        """Return the response to a request; it is cancelled with its client."""

    def refuse(self, refusal: Refusal) -> HttpResponse:
        """Return the response to a request that is not served."""


# Most of its methods are those that the parser and the event loop call.
class RequestProtocol(asyncio.Protocol):  # noqa: WPS214, WPS230
    """One connection of a caller; a task for each of its requests."""

    __slots__ = (
        '_app',
        '_body',
        '_connections',
        '_input_ended',
        '_headers',
        '_keep_alive_seconds',
        '_reading_head',
        '_is_last_request',
        '_loop',
        '_parser',
        '_writing_paused',
        '_received_ms',
        '_has_served',
        '_waiting_since',
        '_body_size',
        '_task',
        '_transport',
        '_unparsed_bytes',
        '_path',
        '_pending',
    )

    def __init__(
        self,
        config: Any,
        server_state: Any,
        app_state: object,
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        """Take what uvicorn gives to its protocols."""
        self._app: RequestHandler = config.app
        self._keep_alive_seconds: float = config.timeout_keep_alive
        self._connections: set[object] = server_state.connections
        self._loop = _loop or self._app.clock.loop()
        self._parser = HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._pending: deque[tuple[Request, bool]] = deque()
        self._writing_paused = False
        # Nothing that arrives from now on is served.
        self._input_ended = False
        # The request that is arriving is the last one.
        self._is_last_request = False
        self._has_served = False
        # Bytes since the parser last finished a head or a part of a body.
        self._unparsed_bytes = 0
        # Time of the loop, in seconds, at which the head began, the last
        # bytes of a body arrived, or the last response was written.
        self._waiting_since = self._loop.time()
        self._reading_head = True
        self._body_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection, unless there are too many."""
        self._transport = cast('asyncio.Transport', transport)
        self._connections.add(self)
        if len(self._connections) > MAX_CONNECTIONS:
            self._transport.abort()

    def data_received(self, received: bytes) -> None:
        """Parse what arrived; end a connection whose head is too long."""
        if not self._reading_head:
            self._waiting_since = self._loop.time()
        self._unparsed_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except HttpParserUpgrade:
            # No other protocol is spoken here.
            self._input_ended = True
        except HttpParserError:
            self._reject_malformed()
            return
        # Trailers and chunk extensions count like a head.
        if self._unparsed_bytes > MAX_HEAD_BYTES:
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is being done for the client that is gone."""
        self._connections.discard(self)
        self._release_body()
        self._input_ended = True
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Begin no further request: the client does not read."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on with the requests that have arrived."""
        self._writing_paused = False
        self._start_next()

    def on_message_begin(self) -> None:
        """Begin to measure a request line and headers."""
        self._reading_head = True
        self._waiting_since = self._loop.time()
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._path += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        if len(self._headers) <= MAX_HEADERS:
            self._headers.append((header_name(name), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the head and begin to measure a body."""
        self._reading_head = False
        self._unparsed_bytes = 0
        self._received_ms = self._app.clock.now()
        size = sum([len(name) + len(text) for name, text in self._headers])
        if len(self._path) > MAX_PATH_BYTES:
            self._refuse(_too_large(f'path of {len(self._path)} bytes'))
        elif size > MAX_HEADER_BYTES or len(self._headers) > MAX_HEADERS:
            self._refuse(_too_large(f'head of {size} bytes or more'))
        elif self._expects_continue() and self._transport:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body, unless the request is refused."""
        self._unparsed_bytes = 0
        if self._input_ended:
            return
        if (
            self._body_size
            and self._app.unfinished_bytes > MAX_UNFINISHED_BYTES
        ):
            self._refuse(NotRun(reason=Reason.OVERLOADED))
        elif self._body_size + len(body) > MAX_BODY_BYTES:
            self._refuse(
                _too_large(f'body of more than {self._body_size} bytes')
            )
        else:
            self._body.append(body)
            self._body_size += len(body)
            self._app.unfinished_bytes += len(body)

    def on_message_complete(self) -> None:
        """Begin the request, or let it wait for the one before it."""
        self._unparsed_bytes = 0
        self._reading_head = True
        self._has_served = True
        self._release_body()
        if self._input_ended:
            return
        if len(self._pending) >= _MAX_PENDING_REQUESTS:
            self._abort()
            return
        keep_alive = bool(self._parser.should_keep_alive())
        self._input_ended = self._is_last_request
        self._pending.append((self._build_request(), keep_alive))
        self._start_next()

    def abort_if_timed_out(self) -> None:
        """End the connection if its client takes too long to send."""
        if self._task is not None:
            return
        timeout_seconds = self._keep_alive_seconds
        if not self._reading_head or self._pending:
            # Or to take the answers before the requests that wait.
            timeout_seconds = BODY_IDLE_TIMEOUT_SECONDS
        elif self._unparsed_bytes or not self._has_served:
            timeout_seconds = HEAD_TIMEOUT_SECONDS
        if self._loop.time() - self._waiting_since > timeout_seconds:
            self._abort()

    def shutdown(self) -> None:
        """Close the connection, after the request in progress if any."""
        if self._reading_head:
            self._input_ended = True
            if self._task is None and not self._pending:
                self._close()
        else:
            self._is_last_request = True

    def _reset(self) -> None:
        self._path = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._received_ms = float(0)

    def _expects_continue(self) -> bool:
        expectations = [
            text for name, text in self._headers if name == 'expect'
        ]
        return bool(expectations) and expectations[0].lower() == '100-continue'

    def _release_body(self) -> None:
        self._app.unfinished_bytes -= self._body_size
        self._body_size = 0

    def _refuse(self, refusal: Refusal) -> None:
        # What follows is not read: the connection ends with the response.
        self._input_ended = True
        self._body.clear()
        self._release_body()
        if self._task is None and not self._pending:
            self._write(self._app.refuse(refusal), close=True)

    def _build_request(self) -> Request:
        return Request(
            method=self._parser.get_method().decode('latin-1'),
            path=self._path.decode('latin-1'),
            headers=tuple(self._headers),
            body=b''.join(self._body),
            received_ms=self._received_ms,
        )

    def _start_next(self) -> None:
        if self._task is None and self._pending and not self._writing_paused:
            request, keep_alive = self._pending.popleft()
            self._task = self._loop.create_task(
                self._serve_request(request, keep_alive)
            )

    async def _serve_request(self, request: Request, keep_alive: bool) -> None:
        try:
            response = await self._app.serve(request)
        except Exception:
            # A fault in one request must not end the node and the others.
            _log.exception('event=request_failed')
            self._fail_request()
            return
        finally:
            self._task = None
        close = not keep_alive or self._app.closing
        self._write(response, close=close, head_only=request.method == 'HEAD')
        self._start_next()

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
        self._transport.write(encoded)
        self._waiting_since = self._loop.time()
        if close:
            self._close()

    def _fail_request(self) -> None:
        if self._transport is not None:
            self._transport.write(_SERVER_ERROR)
        self._close()

    def _reject_malformed(self) -> None:
        if self._task is not None or self._pending:
            # The requests before it are still answered.
            self._input_ended = True
            return
        if self._transport is not None and not self._input_ended:
            self._transport.write(_BAD_REQUEST)
        self._input_ended = True
        self._close()

    def _close(self) -> None:
        # Requests that nobody will get an answer to are not begun.
        self._pending.clear()
        if self._transport is not None:
            self._transport.close()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _too_large(detail: str) -> Refusal:
    return NotRun(reason=Reason.TOO_LARGE, detail=detail)
