"""TCP streams that read and write without turns of the event loop."""

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
# Connections that wait to be accepted: all peers come back at the same time.
_BACKLOG = 1024
# Bytes received and not yet taken, above which the peer is held back.
_MAX_BUFFERED_BYTES = 262144


# Most of its methods are those of the two interfaces.
class DirectStream(ByteStream, asyncio.Protocol):  # noqa: WPS214
    """A stream on a transport of the event loop.

    ``anyio`` gives way to other tasks on each send and receive. Each such turn
    of the loop is a system call, of which a call between two nodes makes six.
    """

    def __init__(
        self, on_connected: Callable[[DirectStream], None] | None = None
    ) -> None:
        """Call ``on_connected`` once the connection exists."""
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
        """Take the transport."""
        self._transport = cast('asyncio.Transport', transport)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, received: bytes) -> None:
        """Keep what arrived for the next receive."""
        if self._consume is not None:
            self._deliver(received)
            return
        self._received += received
        if len(self._received) > _MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Keep the connection open for what is still to be sent."""
        self._ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End waiting receives and sends."""
        self._ended = True
        self._connection_error = exc
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Hold senders back: the peer does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._writable.set()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return what has arrived, waiting for the first byte.

        Raises:
            anyio.EndOfStream: the peer has closed the connection.
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: it was closed here.
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

    async def pump(self, accept: Callable[[bytes], None]) -> None:
        """Call ``accept`` with all that arrives, until the peer closes.

        Raises:
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: it was closed here.
            Exception: what ``accept`` has raised.
        """
        if self._received:
            accept(bytes(self._received))
            self._received.clear()
        self._consume = accept
        while not self._ended:
            self._raise_if_closed()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._raise_if_closed()
        if self._consumer_error is not None:
            raise self._consumer_error

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - anyio
        """Write bytes, waiting while the peer does not read.

        Raises:
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: it was closed here.
        """
        self._raise_if_closed()
        if self._transport is None or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if not self._writable.is_set():
            await self._writable.wait()

    def try_send(self, frame: bytes) -> bool:
        """Write bytes unless that would have to wait; return False then."""
        transport = self._transport
        if transport is None or self._closed or transport.is_closing():
            return False
        if not self._writable.is_set():
            return False
        transport.write(frame)
        return True

    async def send_eof(self) -> None:
        """Tell the peer that nothing more is sent."""
        with contextlib.suppress(OSError):
            if self._transport is not None:
                self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection; what the peer has not taken is dropped."""
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
            # Raised again where the pump is awaited.
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


async def pump(stream: ByteStream, accept: Callable[[bytes], None]) -> None:
    """Call ``accept`` with all that a stream receives, until its end."""
    if isinstance(stream, DirectStream):
        await stream.pump(accept)
        return
    while True:
        try:
            accept(await stream.receive(_RECEIVE_BYTES))
        except anyio.EndOfStream:
            return


class DirectListener:
    """Accepts connections and runs a task for each."""

    def __init__(self, *, host: str, port: int) -> None:
        """Listen on an address once ``bind`` is called."""
        self._host = host
        self._port = port
        self._accepted: asyncio.Queue[DirectStream] = asyncio.Queue()
        self._server: asyncio.Server | None = None

    async def bind(self) -> None:
        """Bind the address.

        Raises:
            OSError: the address is in use or not ours.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: DirectStream(self._accepted.put_nowait),
            self._host,
            self._port,
            backlog=_BACKLOG,
        )

    async def serve(self, accept: ConnectionCallback) -> None:
        """Call ``accept`` for each connection until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    tasks.start_soon(accept, await self._accepted.get())
        finally:
            if self._server is not None:
                self._server.close()


class DirectNetwork(Network):
    """The network of nodes without TLS."""

    __slots__ = ()

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a TCP connection.

        Raises:
            OSError: the peer is unreachable or refuses.
        """
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(DirectStream, host, port)
        return stream

    async def listen(self, host: str, port: int) -> SocketListener:
        """Bind a TCP listener.

        Raises:
            OSError: the address is in use or not ours.
        """
        listener = DirectListener(host=host, port=port)
        await listener.bind()
        return cast('SocketListener', listener)
