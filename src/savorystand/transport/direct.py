"""TCP streams that read and write directly on the event loop's transport."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import cast

import anyio
from anyio.abc import ByteStream

from savorystand.transport.network import Network

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from anyio.abc import SocketListener

ConnectionCallback: TypeAlias = (
    'Callable[[DirectStream], Coroutine[None, None, None]]'
)

_RECEIVE_BYTES = 65536
# Connections that wait to be accepted. After an outage all peers reconnect at
# the same time.
_BACKLOG = 1024
# Reading pauses while more received bytes than this wait for ``receive``.
_MAX_BUFFERED_BYTES = 262144


# The two interfaces require most of the methods.
class DirectStream(ByteStream, asyncio.Protocol):  # noqa: WPS214
    """A byte stream on a TCP transport of the event loop.

    The streams of ``anyio`` yield to the event loop on each send and receive.
    Each yield is an iteration of the loop with a system call, and a call
    between two nodes would take six of them.
    """

    def __init__(
        self, on_connected: Callable[[DirectStream], None] | None = None
    ) -> None:
        """Call ``on_connected`` once the connection is established."""
        self._on_connected = on_connected
        self._consume: Callable[[bytes], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._connection_error: Exception | None = None
        self._consumer_error: Exception | None = None
        self._ended = False
        self._closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection as established."""
        self._transport = cast('asyncio.Transport', transport)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, received: bytes) -> None:
        """Pass bytes to the consumer, or buffer them for ``receive``."""
        if self._consume is not None:
            self._deliver(received)
            return
        self._received += received
        if len(self._received) > _MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Keep the sending side open, since the peer only closed its own."""
        self._ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake receivers and senders, which then see the lost connection."""
        self._ended = True
        self._connection_error = exc
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Make senders wait while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let senders continue once the write buffer has drained."""
        self._writable.set()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return up to ``max_bytes`` received bytes, waiting for the first.

        Raises:
            anyio.EndOfStream: the peer has closed its sending side.
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: the stream was closed on this side.
        """
        while not self._received:
            self._raise_if_closed()
            if self._ended:
                raise anyio.EndOfStream
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        received = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        if self._transport and not self._transport.is_reading():
            if not self._ended and not self._transport.is_closing():
                self._transport.resume_reading()
        return received

    async def pump(self, consume: Callable[[bytes], None]) -> None:
        """Call ``consume`` with all received bytes until the peer closes.

        Raises:
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: the stream was closed on this side.
            Exception: any error that ``consume`` raised.
        """
        if self._received:
            consume(bytes(self._received))
            self._received.clear()
        self._consume = consume
        while not self._ended:
            self._raise_if_closed()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._raise_if_closed()
        if self._consumer_error is not None:
            raise self._consumer_error

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - anyio
        """Write bytes and wait while the write buffer is full.

        Raises:
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: the stream was closed on this side.
        """
        self._raise_if_closed()
        if self._transport is None or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if not self._writable.is_set():
            await self._writable.wait()

    def try_send(self, frame: bytes) -> bool:
        """Write bytes and return True, or return False if that would block."""
        transport = self._transport
        if transport is None or self._closed or transport.is_closing():
            return False
        if not self._writable.is_set():
            return False
        transport.write(frame)
        return True

    async def send_eof(self) -> None:
        """Close the sending side."""
        with contextlib.suppress(OSError):
            if self._transport is not None:
                self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection and drop bytes that are not sent yet."""
        self._closed = True
        self._wake()
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def _deliver(self, received: bytes) -> None:
        if self._consume is None or self._ended:
            return
        try:
            self._consume(received)
        except Exception as exc:
            # ``pump`` raises it again in the task that awaits it.
            self._consumer_error = exc
            self._ended = True
            self._wake()

    def _raise_if_closed(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._connection_error is not None:
            raise anyio.BrokenResourceError from self._connection_error

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def pump(stream: ByteStream, consume: Callable[[bytes], None]) -> None:
    """Call ``consume`` with all bytes that a stream receives until its end."""
    if isinstance(stream, DirectStream):
        await stream.pump(consume)
        return
    while True:
        try:
            consume(await stream.receive(_RECEIVE_BYTES))
        except anyio.EndOfStream:
            return


class DirectListener:
    """Accepts TCP connections and runs a task for each of them."""

    def __init__(self, *, host: str, port: int) -> None:
        """Create a listener that is bound by ``bind``."""
        self._host = host
        self._port = port
        self._accepted: asyncio.Queue[DirectStream] = asyncio.Queue()
        self._server: asyncio.Server | None = None

    async def bind(self) -> None:
        """Start to listen on the address.

        Raises:
            OSError: the address is in use or does not belong to this host.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: DirectStream(self._accepted.put_nowait),
            self._host,
            self._port,
            backlog=_BACKLOG,
        )

    async def serve(self, serve_stream: ConnectionCallback) -> None:
        """Run ``serve_stream`` for each connection until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    tasks.start_soon(serve_stream, await self._accepted.get())
        finally:
            if self._server is not None:
                self._server.close()


class DirectNetwork(Network):
    """TCP streams of nodes that use no TLS."""

    __slots__ = ()

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a TCP connection.

        Raises:
            OSError: the peer is unreachable or refuses the connection.
        """
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(DirectStream, host, port)
        return stream

    async def listen(self, host: str, port: int) -> SocketListener:
        """Bind a TCP listener.

        Raises:
            OSError: the address is in use or does not belong to this host.
        """
        listener = DirectListener(host=host, port=port)
        await listener.bind()
        return cast('SocketListener', listener)
