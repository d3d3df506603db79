"""Outbound connections to peers and the listener for inbound ones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import anyio
from logbook import Logger

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.memory.account import find_memory
from savorystand.reporting.events import connection_lost
from savorystand.reporting.logs import EventLog
from savorystand.transport.connecting import CONNECT_TIMEOUT_MS
from savorystand.transport.connecting import PeerConnector
from savorystand.transport.connection import PeerConnection
from savorystand.transport.connection import monitor_silence
from savorystand.transport.connection import refuse_unconnected
from savorystand.transport.errors import ConnectionLostError
from savorystand.transport.frame_meter import FrameMeter
from savorystand.transport.inbound import ControlResponder
from savorystand.transport.inbound import InboundHandler
from savorystand.transport.network import Network
from savorystand.transport.observers import ControlObserver
from savorystand.transport.observers import LoadObserver
from savorystand.transport.observers import PeerObservers
from savorystand.transport.outbound_connections import OutboundConnections
from savorystand.transport.server import ServerConnection
from savorystand.wire.codec import encode_frame

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from anyio.abc import ByteStream
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.transport.address import PeerAddress
    from savorystand.wire.codec import Message

# Bound on inbound connections; further ones are closed at once. At the target
# size, each of 7,700 nodes may hold one of them.
MAX_PEER_CONNECTIONS = 8192
_DRAIN_POLL_INTERVAL_MS = 20
_log = Logger('savorystand')


class PeerTransport(Service):
    """Keeps one outbound connection per peer and serves inbound connections."""

    __slots__ = (
        '_account',
        '_clock',
        '_connections',
        '_connector',
        '_host',
        '_kernel',
        '_observers',
        '_meter',
        '_port',
        '_inbound_connections',
        '_tasks',
    )

    def __init__(self, *, kernel: Kernel, host: str, port: int) -> None:
        """Create the transport; ``run`` listens on ``host`` and ``port``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._account = find_memory(kernel)
        self._host = host
        self._port = port
        self._connections = OutboundConnections()
        self._connector = PeerConnector(
            clock=self._clock, open_connection=self._open_connection
        )
        self._observers = PeerObservers()
        self._inbound_connections: set[ServerConnection] = set()
        self._tasks: TaskGroup | None = None
        self._meter = FrameMeter(kernel=kernel)

    def add_load_observer(self, observer: LoadObserver) -> None:
        """Call ``observer`` with each load report of a peer."""
        self._observers.load_observers.append(observer)

    def add_control_observer(self, observer: ControlObserver) -> None:
        """Call ``observer`` with each control frame from the peers called.

        Adding it again has no effect.
        """
        if observer not in self._observers.control_observers:
            self._observers.control_observers.append(observer)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Listen and serve inbound connections until cancelled.

        Raises:
            OSError: the address cannot be bound.
        """
        network = self._kernel.find('network', Network)
        listener = await network.listen(self._host, self._port)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._connector.start(tasks)
            tasks.start_soon(monitor_silence, self._clock, self._connections)
            task_status.started()
            await listener.serve(self._serve)

    async def drain(self) -> None:
        """Wait until all responses to calls of peers are written."""
        while any(conn.busy() for conn in self._inbound_connections):
            await self._clock.sleep(_DRAIN_POLL_INTERVAL_MS)

    def call(
        self, peer: PeerAddress, call: Call
    ) -> Coroutine[Any, Any, Outcome]:
        """Make a call to a peer, opening a connection if there is none.

        It waits for a connection as long as ``PeerConnector`` allows.
        """
        conn = self._connections.get(peer)
        if conn is not None and conn.recently_active():
            return conn.call(call)
        return self._call_when_connected(peer, call)

    async def send(self, peer: PeerAddress, frame: Message) -> None:
        """Send a control frame to a peer.

        Raises:
            ConnectionLostError: no connection can be established.
        """
        conn = self._connections.get(peer)
        if conn is None or not conn.recently_active():
            conn = await self._connector.connect_for_control(peer)
        conn.send(frame)

    def broadcast(self, frame: Message) -> None:
        """Send a control frame on all outbound and inbound connections.

        Inbound ones are included because those peers send calls to this node.
        """
        self._connections.send(frame)
        self.broadcast_inbound(frame)

    def broadcast_inbound(self, frame: Message) -> None:
        """Send a control frame on all inbound connections."""
        encoded = encode_frame(frame)
        for conn in self._inbound_connections:
            conn.send(encoded)

    def drop_connection(self, peer: PeerAddress) -> None:
        """Close and forget the connection to a peer that will not return."""
        self._connector.forget(peer)
        self._connections.drop(peer)

    def close_idle_connections(self, min_idle_ms: float) -> None:
        """Close connections without calls or traffic for ``min_idle_ms``.

        Anti-entropy contacts random members. Without this, a node would end up
        with an open connection to every member.
        """
        self._connector.forget_failures()
        self._connections.close_idle(min_idle_ms)

    async def _open_connection(self, peer: PeerAddress) -> PeerConnection:
        silent = self._connections.get(peer)
        if silent is not None and await silent.check_alive():
            return silent
        if self._tasks is None:
            raise ConnectionLostError('this node is stopping')
        network = self._kernel.find('network', Network)
        stream = await _connect(network, peer)
        conn = PeerConnection(
            clock=self._clock,
            on_load=lambda load: self._observers.notify_load(peer, load),
            on_control=lambda frame: self._observers.notify_control(
                peer, frame
            ),
            on_frame=self._meter.observer(peer),
            account=self._account,
        )
        self._connections.replace(peer, conn)
        self._tasks.start_soon(_run_contained, conn, stream, self._kernel, peer)
        return conn

    async def _call_when_connected(
        self, peer: PeerAddress, call: Call
    ) -> Outcome:
        remaining_ms = call.context.deadline_ms - self._clock.now()
        try:
            conn = await self._connector.connect_for_call(peer, remaining_ms)
        except ConnectionLostError as exc:
            return refuse_unconnected(str(exc))
        return await conn.call(call)

    async def _serve(self, stream: ByteStream) -> None:
        if len(self._inbound_connections) >= MAX_PEER_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        conn = ServerConnection(
            clock=self._clock,
            inbound=self._kernel.find('inbound', InboundHandler),
            control=self._kernel.find('control', ControlResponder),
            account=self._account,
        )
        self._inbound_connections.add(conn)
        try:
            await _run_contained(conn, stream, self._kernel)
        finally:
            self._inbound_connections.discard(conn)


async def _run_contained(
    conn: PeerConnection | ServerConnection,
    stream: ByteStream,
    kernel: Kernel,
    peer: PeerAddress | None = None,
) -> None:
    # An unexpected error costs one connection, not the node with all others.
    try:
        await conn.run(stream)
    except Exception:
        _log.exception('level=error event=peer-connection-failed')
    if conn.malformed:
        log = kernel.find('log', EventLog)
        log.write(connection_lost(conn.malformed, peer))


async def _connect(network: Network, peer: PeerAddress) -> ByteStream:
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
            return await network.connect(peer.host, peer.port)
    except OSError as exc:
        endpoint = f'{peer.host}:{peer.port}'
        raise ConnectionLostError(
            f'connecting to {endpoint} failed: {exc}'
        ) from exc
