"""The HTTP protocol of the listeners: cancellation and bounds on clients."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

# Bound on the connections of one listener; later ones are closed at once.
MAX_CONNECTIONS = 4096
# Bound on request line and headers together while they arrive. It exceeds
# what the application accepts, which answers with a refusal.
MAX_HEAD_BYTES = 65536
# Time to send a whole request line and headers, from the connection or from
# the first byte of a later request.
HEAD_TIMEOUT_SECONDS = 10
# Time without a byte of an unfinished body. An upload that is slow but moves
# is never cut; its deadline ends it.
BODY_IDLE_TIMEOUT_SECONDS = 30
_CANCEL_KEY = 'savorystand.cancel'


class BoundedProtocol(HttpToolsProtocol):
    """Cancels the request in progress when its client hangs up.

    Watching ``receive`` for the disconnect message instead takes a task for
    each request, which costs about a tenth of a millisecond. Slow clients are
    found by the listener, which calls ``abort_if_timed_out`` for all connections every
    second: a timer for each request would cost more.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take what uvicorn gives to its protocols."""
        super().__init__(*args, **options)
        self._reading_head = True
        # Bytes since the parser last finished a head or a part of a body.
        self._unparsed_bytes = 0
        # Time of the loop, in seconds, at which the head began or the last
        # bytes of a body arrived.
        self._waiting_since = self.loop.time()

    def connection_made(self, transport: Any) -> None:
        """Take a connection, unless there are too many."""
        super().connection_made(transport)
        if len(self.connections) > MAX_CONNECTIONS:
            transport.abort()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 - asyncio
        """Parse what arrived; end a connection whose head is too long."""
        if not self._reading_head:
            self._waiting_since = self.loop.time()
        self._unparsed_bytes += len(data)
        super().data_received(data)
        # Trailers and chunk extensions count like a head.
        if self._unparsed_bytes > MAX_HEAD_BYTES:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Begin to measure a request line and headers."""
        super().on_message_begin()
        self._reading_head = True
        self._waiting_since = self.loop.time()

    def on_headers_complete(self) -> None:
        """Begin to measure a body."""
        self._reading_head = False
        self._unparsed_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        self._unparsed_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop measuring until the next request."""
        self._unparsed_bytes = 0
        super().on_message_complete()

    def abort_if_timed_out(self) -> None:
        """End the connection if its client takes too long to send."""
        waited_seconds = self.loop.time() - self._waiting_since
        if self.flow.read_paused or self._is_serving():
            # This node is the one that waits, or it works on a request.
            return
        if self._reading_head and waited_seconds > HEAD_TIMEOUT_SECONDS:
            self.transport.abort()
        elif (
            self._is_reading_body()
            and waited_seconds > BODY_IDLE_TIMEOUT_SECONDS
        ):
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is being done for the client that is gone."""
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
    """Have ``cancel`` called if the client of an ASGI scope hangs up."""
    scope[_CANCEL_KEY] = cancel
