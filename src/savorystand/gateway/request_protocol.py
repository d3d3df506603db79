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
# Bound on the complete requests of one connection that wait for an earlier one.
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
    """Application of a listener without ASGI.

    While ``closing`` is True, connections are closed after each response.
    ``unfinished_bytes`` is the number of received bytes of incomplete bodies.
    """

    clock: Clock
    closing: bool
    unfinished_bytes: int

    async def serve(self, request: Request) -> HttpResponse:
        """Return the response to a request.

        It is cancelled if the client disconnects.
        """

    def refuse(self, refusal: Refusal) -> HttpResponse:
        """Return the response to a request that is not served."""


# Most methods are callbacks of the parser and the event loop.
class RequestProtocol(asyncio.Protocol):  # noqa: WPS214, WPS230
    """One connection of a caller, with a task for each request.

    Requests are served one at a time, in the order of their arrival.
    """

    __slots__ = (
        '_app',
        '_body',
        '_body_size',
        '_connections',
        '_had_request',
        '_headers',
        '_input_ended',
        '_is_last_request',
        '_keep_alive_seconds',
        '_loop',
        '_parser',
        '_path',
        '_pending',
        '_reading_head',
        '_received_ms',
        '_task',
        '_transport',
        '_unparsed_bytes',
        '_waiting_since',
        '_writing_paused',
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
        self._keep_alive_seconds: float = config.timeout_keep_alive
        self._connections: set[object] = server_state.connections
        self._loop = _loop or self._app.clock.loop()
        self._parser = HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._pending: deque[tuple[Request, bool]] = deque()
        self._writing_paused = False
        # Further input is not served.
        self._input_ended = False
        # No request is served after the one that is arriving.
        self._is_last_request = False
        self._had_request = False
        # Bytes received since the parser completed the headers or passed on a
        # part of a body.
        self._unparsed_bytes = 0
        # Time of the loop in seconds when the request line and headers began,
        # the last bytes of a body arrived or the last response was written.
        self._waiting_since = self._loop.time()
        self._reading_head = True
        self._body_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a connection; abort it beyond ``MAX_CONNECTIONS``."""
        self._transport = cast('asyncio.Transport', transport)
        self._connections.add(self)
        if len(self._connections) > MAX_CONNECTIONS:
            self._transport.abort()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; abort the connection beyond the bound."""
        if not self._reading_head:
            self._waiting_since = self._loop.time()
        self._unparsed_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except HttpParserUpgrade:
            # Upgrades to other protocols are not supported.
            self._input_ended = True
        except HttpParserError:
            self._reject_malformed()
            return
        # Trailers and chunk extensions are subject to the same bound.
        if self._unparsed_bytes > MAX_HEAD_BYTES:
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the disconnected client."""
        self._connections.discard(self)
        self._release_body()
        self._input_ended = True
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Start no further request while the client does not read."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Start the next pending request."""
        self._writing_paused = False
        self._start_next()

    def on_message_begin(self) -> None:
        """Reset the request and start the timeout for its headers."""
        self._reading_head = True
        self._waiting_since = self._loop.time()
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's path and query."""
        self._path += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header.

        One more than ``MAX_HEADERS`` is stored, so that the excess is detected.
        """
        if len(self._headers) <= MAX_HEADERS:
            self._headers.append((header_name(name), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Check the size of path and headers; start the body timeout."""
        self._reading_head = False
        self._unparsed_bytes = 0
        self._received_ms = self._app.clock.now()
        size = sum([len(name) + len(text) for name, text in self._headers])
        if len(self._path) > MAX_PATH_BYTES:
            self._refuse(
                _too_large(
                    f'path of {len(self._path)} bytes, expected at most '
                    f'{MAX_PATH_BYTES}'
                )
            )
        elif size > MAX_HEADER_BYTES or len(self._headers) > MAX_HEADERS:
            self._refuse(
                _too_large(
                    f'at least {len(self._headers)} headers of {size} bytes, '
                    f'expected at most {MAX_HEADERS} headers of '
                    f'{MAX_HEADER_BYTES} bytes'
                )
            )
        elif self._expects_continue() and self._transport:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; refuse a request beyond the bounds."""
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
                _too_large(
                    f'body of more than {self._body_size} bytes, expected at '
                    f'most {MAX_BODY_BYTES}'
                )
            )
        else:
            self._body += body
            self._body_size += len(body)
            self._app.unfinished_bytes += len(body)

    def on_message_complete(self) -> None:
        """Start the request, or queue it behind the one in progress."""
        self._unparsed_bytes = 0
        self._reading_head = True
        self._had_request = True
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
        """Abort the connection if its client takes too long to send or read."""
        if self._task is not None:
            return
        timeout_seconds = self._keep_alive_seconds
        if not self._reading_head or self._pending:
            # Requests are pending while the client does not read the responses
            # before them.
            timeout_seconds = BODY_IDLE_TIMEOUT_SECONDS
        elif self._unparsed_bytes or not self._had_request:
            timeout_seconds = HEAD_TIMEOUT_SECONDS
        if self._loop.time() - self._waiting_since > timeout_seconds:
            self._abort()

    def shutdown(self) -> None:
        """Close the connection after the requests that have arrived.

        A request whose headers are complete is still read and served.
        """
        if self._reading_head:
            self._input_ended = True
            if self._task is None and not self._pending:
                self._close()
        else:
            self._is_last_request = True

    def _reset(self) -> None:
        self._path = b''
        self._headers: list[tuple[str, str]] = []
        # In one piece: the parts of a chunked body may have one byte each.
        self._body = bytearray()
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
        # The rest of the request is not read. The connection is closed after
        # the response.
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
            body=bytes(self._body),
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
            # An error in one request must not end the node and other requests.
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
            # Earlier requests still get their responses.
            self._input_ended = True
            return
        if self._transport is not None and not self._input_ended:
            self._transport.write(_BAD_REQUEST)
        self._input_ended = True
        self._close()

    def _close(self) -> None:
        # Requests without a possible response are not started.
        self._pending.clear()
        if self._transport is not None:
            self._transport.close()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _too_large(detail: str) -> Refusal:
    return NotRun(reason=Reason.TOO_LARGE, detail=detail)
