"""HTTP protocol of ASGI listeners, with cancellation and client limits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

# Bound on the connections of one listener; further ones are aborted.
MAX_CONNECTIONS = 4096
# Bound on the size of an incomplete request line and headers. It exceeds the
# bounds of the application, so that the application can send a refusal.
MAX_HEAD_BYTES = 65536
# Time for a complete request line and headers, from the start of the connection
# or from the first byte of a later request.
HEAD_TIMEOUT_SECONDS = 10
# Time without any byte of an incomplete body. A slow upload that makes progress
# is not aborted; its deadline limits it.
BODY_IDLE_TIMEOUT_SECONDS = 30
_CANCEL_KEY = 'savorystand.cancel'


class BoundedProtocol(HttpToolsProtocol):
    """Cancels the request in progress when its client disconnects.

    Waiting on ``receive`` for the disconnect message instead needs a task for
    each request, which costs about 0.1 ms. The listener checks all connections
    for slow clients every second with ``abort_if_timed_out``, because a timer
    for each request would cost more.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Accept the arguments that ``uvicorn`` passes to its protocols."""
        super().__init__(*args, **options)
        self._reading_head = True
        # Bytes received since the parser completed the headers or passed on a
        # part of a body.
        self._unparsed_bytes = 0
        # Time of the loop in seconds when the request line and headers began
        # or the last bytes of a body arrived.
        self._waiting_since = self.loop.time()

    def connection_made(self, transport: Any) -> None:
        """Register a connection; abort it beyond ``MAX_CONNECTIONS``."""
        super().connection_made(transport)
        if len(self.connections) > MAX_CONNECTIONS:
            transport.abort()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 - asyncio
        """Parse received bytes; abort the connection beyond the bound."""
        if not self._reading_head:
            self._waiting_since = self.loop.time()
        self._unparsed_bytes += len(data)
        super().data_received(data)
        # Trailers and chunk extensions are subject to the same bound.
        if self._unparsed_bytes > MAX_HEAD_BYTES:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Start the timeout for the request line and headers."""
        super().on_message_begin()
        self._reading_head = True
        self._waiting_since = self.loop.time()

    def on_headers_complete(self) -> None:
        """Switch to the timeout for a body."""
        self._reading_head = False
        self._unparsed_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body and reset the count of unparsed bytes."""
        self._unparsed_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete the request and reset the count of unparsed bytes."""
        self._unparsed_bytes = 0
        super().on_message_complete()

    def abort_if_timed_out(self) -> None:
        """Abort the connection if its client takes too long to send."""
        waited_seconds = self.loop.time() - self._waiting_since
        if self.flow.read_paused or self._is_serving():
            # The node itself has paused reading, or is processing a request.
            return
        if self._reading_head and waited_seconds > HEAD_TIMEOUT_SECONDS:
            self.transport.abort()
        elif (
            self._is_reading_body()
            and waited_seconds > BODY_IDLE_TIMEOUT_SECONDS
        ):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress of the disconnected client."""
        super().connection_lost(exc)
        scope: dict[str, Any] | None = getattr(self, 'scope', None)
        if scope is not None and _CANCEL_KEY in scope:
            scope[_CANCEL_KEY]()

    def _is_serving(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.more_body:
            return False
        return not cycle.response_complete

    def _is_reading_body(self) -> bool:
        return self.cycle is not None and self.cycle.more_body


def set_disconnect_callback(
    scope: dict[str, Any], cancel: Callable[[], object]
) -> None:
    """Call ``cancel`` when the client of an ASGI scope disconnects."""
    scope[_CANCEL_KEY] = cancel
