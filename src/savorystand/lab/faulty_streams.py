"""Streams and datagrams with injected delays, partitions and silence."""

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

# Stands for the send buffer of a socket, which makes a sender wait when full.
_MAX_QUEUED_CHUNKS = 64
_SEND_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
_RECEIVE_ERRORS = (anyio.EndOfStream, *_SEND_ERRORS)


class LinkConditions:
    """Delays to the peers of this node, and the peers that are cut off."""

    __slots__ = ('_cuts_changed', '_cuts', '_delays_ms')

    def __init__(self, *, delays_ms: dict[str, float]) -> None:
        """Map address prefixes to one-way delays; cut off no peer."""
        self._delays_ms = delays_ms
        self._cuts: tuple[str, ...] = ()
        self._cuts_changed = anyio.Event()

    def delay_ms(self, host: str) -> float:
        """Return the one-way delay to a peer in ms."""
        for prefix, delay_ms in self._delays_ms.items():
            if host.startswith(prefix):
                return delay_ms
        return 0

    def is_cut(self, host: str) -> bool:
        """Return True if a peer is cut off."""
        return bool(self._cuts) and host.startswith(self._cuts)

    def replace_cuts(self, prefixes: tuple[str, ...]) -> None:
        """Set the prefixes of peers that are cut off; wake waiting streams."""
        self._cuts = prefixes
        self._cuts_changed.set()
        self._cuts_changed = anyio.Event()

    async def wait_until_reachable(self, host: str) -> None:
        """Wait until a peer is not cut off."""
        while self.is_cut(host):
            await self._cuts_changed.wait()


class FaultyStream(ByteStream):
    """Delays sent bytes; the stream of the peer delays the other direction."""

    __slots__ = (
        '_broken',
        '_clock',
        '_inner',
        '_conditions',
        '_open',
        '_peer',
        '_queue',
        '_queue_changed',
        '_space_available',
        '_silenced',
    )

    def __init__(
        self, *, inner: ByteStream, peer: str, conditions: LinkConditions
    ) -> None:
        """Wrap ``inner``, a connection to the address ``peer``."""
        self._clock = Clock()
        self._inner = inner
        self._conditions = conditions
        self._peer = peer
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queue_changed = anyio.Event()
        self._space_available = anyio.Event()
        self._silenced = False
        self._open = True
        self._broken = False

    def is_open(self) -> bool:
        """Return True if the stream is not closed, broken or silenced."""
        return self._open and not self._broken and not self._silenced

    def silence(self) -> None:
        """Drop all data in both directions from now on."""
        self._silenced = True

    async def send_queued(self) -> None:
        """Send queued bytes when they are due, until the stream is closed."""
        try:
            while self._open or self._queue:
                await self._send_next()
        except _SEND_ERRORS:
            self._broken = True
            self._space_available.set()
        if not self._silenced:
            await anyio.aclose_forcefully(self._inner)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return received bytes; wait while the peer is cut off.

        Raises:
            EndOfStream: the peer has closed the connection.
            ClosedResourceError: this end is closed.
            BrokenResourceError: the connection failed.
        """
        try:
            received = await self._inner.receive(max_bytes)
        except _RECEIVE_ERRORS:
            await self._wait_until_reachable()
            raise
        await self._wait_until_reachable()
        return received

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - from anyio
        """Queue bytes for sending; wait while the queue is full.

        Raises:
            ClosedResourceError: this end is closed.
            BrokenResourceError: the connection failed.
        """
        if not self._open:
            raise anyio.ClosedResourceError
        while len(self._queue) >= _MAX_QUEUED_CHUNKS and not self._broken:
            self._space_available = anyio.Event()
            await self._space_available.wait()
        if self._broken:
            raise anyio.BrokenResourceError
        due_ms = self._clock.now() + self._conditions.delay_ms(self._peer)
        self._queue.append((due_ms, bytes(item)))
        self._queue_changed.set()

    async def send_eof(self) -> None:
        """Close the stream; queued bytes are sent first."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close this end; queued bytes are sent first.

        The peer of a silenced connection does not notice that it was closed.
        """
        self._open = False
        self._queue_changed.set()
        await anyio.sleep(0)

    async def _send_next(self) -> None:
        while not self._queue and self._open:
            self._queue_changed = anyio.Event()
            await self._queue_changed.wait()
        if not self._queue:
            return
        due_ms, chunk = self._queue.popleft()
        self._space_available.set()
        await self._clock.sleep(max(0, due_ms - self._clock.now()))
        await self._conditions.wait_until_reachable(self._peer)
        if not self._silenced:
            await self._inner.send(chunk)

    async def _wait_until_reachable(self) -> None:
        await self._conditions.wait_until_reachable(self._peer)
        if self._silenced:
            await anyio.sleep_forever()


class FaultyListener:
    """Listener that wraps accepted connections."""

    __slots__ = ('_inner', '_wrap')

    def __init__(
        self,
        *,
        inner: SocketListener,
        wrap: Callable[[ByteStream, str], FaultyStream],
    ) -> None:
        """Pass each connection and the address of its peer to ``wrap``."""
        self._inner = inner
        self._wrap = wrap

    async def serve(
        self,
        accept: Callable[[ByteStream], Awaitable[None]],
        task_group: TaskGroup | None = None,
    ) -> None:
        """Accept connections until cancelled."""

        async def accept_wrapped(stream: ByteStream) -> None:  # noqa: WPS430
            raw_socket = stream.extra(SocketAttribute.raw_socket)
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer = str(stream.extra(SocketAttribute.remote_address)[0])
            await accept(self._wrap(stream, peer))

        await self._inner.serve(accept_wrapped, task_group)

    def local_port(self) -> int:
        """Return the bound port."""
        return int(self._inner.extra(SocketAttribute.local_port))

    async def aclose(self) -> None:
        """Stop accepting connections."""
        await self._inner.aclose()


class FaultyDatagrams:
    """Delays datagrams, and drops those of peers that are cut off."""

    __slots__ = ('_clock', '_inner', '_conditions', '_lock', '_tasks')

    def __init__(
        self, *, inner: UDPSocket, conditions: LinkConditions, tasks: TaskGroup
    ) -> None:
        """Wrap ``inner``; delayed datagrams are sent by tasks of ``tasks``."""
        self._clock = Clock()
        self._inner = inner
        self._conditions = conditions
        self._lock = anyio.Lock()
        self._tasks = tasks

    def __aiter__(self) -> FaultyDatagrams:
        """Iterate over received datagrams."""
        return self

    async def __anext__(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""
        return await self.receive()

    async def __aenter__(self) -> FaultyDatagrams:
        """Return this socket, which is closed on exit."""
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
            if not self._conditions.is_cut(sender[0]):
                return packet, sender

    async def send(self, packet: tuple[bytes, tuple[str, int]]) -> None:
        """Send a datagram to an address."""
        await self.sendto(packet[0], *packet[1])

    async def sendto(self, packet: bytes, host: str, port: int) -> None:
        """Send a datagram after the delay to ``host``, unless it is cut off."""
        if not self._conditions.is_cut(host):
            self._tasks.start_soon(self._send_delayed, packet, host, port)
            await anyio.sleep(0)

    async def aclose(self) -> None:
        """Close the socket."""
        await self._inner.aclose()

    async def _send_delayed(self, packet: bytes, host: str, port: int) -> None:
        await self._clock.sleep(self._conditions.delay_ms(host))
        try:
            # The socket does not allow a second sender while one is waiting.
            async with self._lock:
                await self._inner.sendto(packet, host, port)
        except _SEND_ERRORS:
            return
