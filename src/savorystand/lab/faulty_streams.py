"""Streams and datagrams with injected delay, cuts and silence."""

from __future__ import annotations

import socket
from collections import deque
from typing import TYPE_CHECKING

import anyio
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute

from savorystand.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import SocketListener
    from anyio.abc import TaskGroup
    from anyio.abc import UDPSocket

# As much as a socket's send buffer would take before the sender waits.
_BUFFERED_CHUNKS = 64
_CLOSED = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
_RECEIVE_ENDS = (anyio.EndOfStream, *_CLOSED)


class Link:
    """Delays and cuts between this node and the places of its peers."""

    __slots__ = ('_changed', '_cuts', '_delays_ms')

    def __init__(self, *, delays_ms: dict[str, float]) -> None:
        """Give the one-way delay to each prefix of addresses."""
        self._delays_ms = delays_ms
        self._cuts: tuple[str, ...] = ()
        self._changed = anyio.Event()

    def delay_ms(self, host: str) -> float:
        """Return the one-way delay to a peer."""
        for prefix, delay_ms in self._delays_ms.items():
            if host.startswith(prefix):
                return delay_ms
        return 0

    def is_cut(self, host: str) -> bool:
        """Return True while nothing passes to or from a peer."""
        return bool(self._cuts) and host.startswith(self._cuts)

    def replace_cuts(self, prefixes: tuple[str, ...]) -> None:
        """Replace the cuts and wake the streams that wait for their end."""
        self._cuts = prefixes
        self._changed.set()
        self._changed = anyio.Event()

    async def passable(self, host: str) -> None:
        """Wait until nothing cuts off a peer."""
        while self.is_cut(host):
            await self._changed.wait()


class FaultyStream(ByteStream):
    """Delays what is sent; the peer's end delays the other direction."""

    __slots__ = (
        '_broken',
        '_clock',
        '_inner',
        '_link',
        '_open',
        '_peer',
        '_queue',
        '_ready',
        '_room',
        '_silent',
    )

    def __init__(self, *, inner: ByteStream, peer: str, link: Link) -> None:
        """Wrap ``inner``, a connection to the address ``peer``."""
        self._clock = Clock()
        self._inner = inner
        self._link = link
        self._peer = peer
        self._queue: deque[tuple[float, bytes]] = deque()
        self._ready = anyio.Event()
        self._room = anyio.Event()
        self._silent = False
        self._open = True
        self._broken = False

    def open(self) -> bool:
        """Return True until the stream is closed, broken or silenced."""
        return self._open and not self._broken and not self._silent

    def silence(self) -> None:
        """Let nothing pass in either direction from now on."""
        self._silent = True

    async def pump(self) -> None:
        """Send what is due until the stream ends."""
        try:
            while self._open or self._queue:
                await self._send_next()
        except _CLOSED:
            self._broken = True
            self._room.set()
        if not self._silent:
            await anyio.aclose_forcefully(self._inner)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return received bytes.

        Raises:
            EndOfStream: the peer has closed the connection.
            ClosedResourceError: this end is closed.
            BrokenResourceError: the connection failed.
        """
        try:
            received = await self._inner.receive(max_bytes)
        except _RECEIVE_ENDS:
            await self._hold()
            raise
        await self._hold()
        return received

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - from anyio
        """Queue bytes for sending; wait while the buffer is full.

        Raises:
            ClosedResourceError: this end is closed.
            BrokenResourceError: the connection failed.
        """
        if not self._open:
            raise anyio.ClosedResourceError
        while len(self._queue) >= _BUFFERED_CHUNKS and not self._broken:
            self._room = anyio.Event()
            await self._room.wait()
        if self._broken:
            raise anyio.BrokenResourceError
        due_ms = self._clock.now() + self._link.delay_ms(self._peer)
        self._queue.append((due_ms, bytes(item)))
        self._ready.set()

    async def send_eof(self) -> None:
        """Close the sending side once everything is sent."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close this end; what is queued is sent first.

        The other end of a silenced connection never learns of it.
        """
        self._open = False
        self._ready.set()
        await anyio.sleep(0)

    async def _send_next(self) -> None:
        while not self._queue and self._open:
            self._ready = anyio.Event()
            await self._ready.wait()
        if not self._queue:
            return
        due_ms, chunk = self._queue.popleft()
        self._room.set()
        await self._clock.sleep(max(0, due_ms - self._clock.now()))
        await self._link.passable(self._peer)
        if not self._silent:
            await self._inner.send(chunk)

    async def _hold(self) -> None:
        await self._link.passable(self._peer)
        if self._silent:
            await anyio.sleep_forever()


class FaultyListener:
    """Wraps accepted connections."""

    __slots__ = ('_inner', '_wrap')

    def __init__(
        self,
        *,
        inner: SocketListener,
        wrap: Callable[[ByteStream, str], FaultyStream],
    ) -> None:
        """Pass each connection and its peer's address to ``wrap``."""
        self._inner = inner
        self._wrap = wrap

    async def serve(
        self,
        accept: Callable[[ByteStream], Awaitable[None]],
        task_group: TaskGroup | None = None,
    ) -> None:
        """Accept connections until cancelled."""

        async def wrapped(stream: ByteStream) -> None:  # noqa: WPS430
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer = str(stream.extra(SocketAttribute.remote_address)[0])
            await accept(self._wrap(stream, peer))

        await self._inner.serve(wrapped, task_group)

    def local_port(self) -> int:
        """Return the port that was bound."""
        return int(self._inner.extra(SocketAttribute.local_port))

    async def aclose(self) -> None:
        """Stop accepting."""
        await self._inner.aclose()


class FaultyDatagrams:
    """Delays datagrams and drops those that a cut would swallow."""

    __slots__ = ('_clock', '_inner', '_link', '_lock', '_tasks')

    def __init__(
        self, *, inner: UDPSocket, link: Link, tasks: TaskGroup
    ) -> None:
        """Wrap ``inner``; ``tasks`` hosts the delayed sends."""
        self._clock = Clock()
        self._inner = inner
        self._link = link
        self._lock = anyio.Lock()
        self._tasks = tasks

    def __aiter__(self) -> FaultyDatagrams:
        """Iterate over received datagrams."""
        return self

    async def __anext__(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""
        return await self.receive()

    async def __aenter__(self) -> FaultyDatagrams:
        """Return the socket, which is closed on exit."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close the socket."""
        await self.aclose()

    async def receive(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender.

        Raises:
            ClosedResourceError: this end is closed.
        """
        while True:
            packet, sender = await self._inner.receive()
            if not self._link.is_cut(sender[0]):
                return packet, sender

    async def send(self, packet: tuple[bytes, tuple[str, int]]) -> None:
        """Send a datagram to an address."""
        await self.sendto(packet[0], *packet[1])

    async def sendto(self, packet: bytes, host: str, port: int) -> None:
        """Send a datagram after the link's delay."""
        if not self._link.is_cut(host):
            self._tasks.start_soon(self._send_late, packet, host, port)
            await anyio.sleep(0)

    async def aclose(self) -> None:
        """Close the socket."""
        await self._inner.aclose()

    async def _send_late(self, packet: bytes, host: str, port: int) -> None:
        await self._clock.sleep(self._link.delay_ms(host))
        try:
            # The socket refuses a second sender while one is suspended.
            async with self._lock:
                await self._inner.sendto(packet, host, port)
        except _CLOSED:
            return
