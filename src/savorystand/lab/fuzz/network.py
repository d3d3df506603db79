"""Simulated network between the nodes of one run."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING
from typing import cast
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.fuzz.streams import Connection
from savorystand.transport.network import Network

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from anyio.abc import ByteStream
    from anyio.abc import SocketListener

_MAX_LATENCY_MS = 8
_CONNECT_TIMEOUT_MS = 3000


@final
class MemoryListener:
    """Accepts the connections to one host."""

    def __init__(self, *, fabric: Fabric, host: str) -> None:
        """Create a listener for ``host``; ``serve`` registers it."""
        self._fabric = fabric
        self._host = host
        sender, receiver = anyio.create_memory_object_stream[Connection](
            math.inf
        )
        self._sender = sender
        self._receiver = receiver

    def enqueue(self, connection: Connection) -> None:
        """Queue a new connection for ``serve``."""
        self._sender.send_nowait(connection)

    async def serve(
        self,
        accept: Callable[[ByteStream], Coroutine[None, None, None]],
    ) -> None:
        """Run ``accept`` for each connection until cancelled."""
        self._fabric.listeners[self._host] = self
        async with anyio.create_task_group() as tasks:
            async for connection in self._receiver:
                tasks.start_soon(accept, connection.server)


@final
class Fabric:
    """Tracks which hosts reach each other, and the open connections."""

    def __init__(self, *, seed: int) -> None:
        """Start without partitions; ``seed`` determines the latencies."""
        self._seed = seed
        self._opened_connections = 0
        self.listeners: dict[str, MemoryListener] = {}
        self.connections: dict[Connection, frozenset[str]] = {}
        self.partitioned: set[frozenset[str]] = set()
        self.paused_hosts: set[str] = set()

    def can_reach(self, source: str, destination: str) -> bool:
        """Return True unless a pause or a partition separates the hosts."""
        if source in self.paused_hosts or destination in self.paused_hosts:
            return False
        return frozenset((source, destination)) not in self.partitioned

    def connect(self, source: str, destination: str) -> Connection:
        """Open a connection from ``source`` to ``destination``.

        Raises:
            OSError: nothing listens at ``destination``.
        """
        listener = self.listeners.get(destination)
        if listener is None:
            raise OSError(f'{destination} refuses connections')
        self._opened_connections += 1
        connection = Connection(
            rng=random.Random(f'{self._seed} {self._opened_connections}'),
            max_latency_ms=_MAX_LATENCY_MS,
            is_blocked=lambda: not self.can_reach(source, destination),
        )
        self.connections[connection] = frozenset((source, destination))
        listener.enqueue(connection)
        return connection

    def close_host(self, host: str) -> None:
        """Close the listener and all connections of the process at ``host``."""
        self.listeners.pop(host, None)
        for connection, hosts in list(self.connections.items()):
            if host in hosts:
                connection.end()
                del self.connections[connection]

    def wake_receivers(self) -> None:
        """Wake all receivers after a change of partitions or pauses."""
        for connection in self.connections:
            connection.wake_receivers()


@final
class MemoryNetwork(Network):
    """Connects one node to the simulated network."""

    __slots__ = ('_fabric', '_host')

    def __init__(self, *, fabric: Fabric, host: str) -> None:
        """Open connections from ``host`` and listen there."""
        self._fabric = fabric
        self._host = host

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a connection.

        Raises:
            OSError: the peer is unreachable or does not listen.
        """
        await anyio.sleep(2 / MS_PER_SECOND)
        if not self._fabric.can_reach(self._host, host):
            await anyio.sleep(_CONNECT_TIMEOUT_MS / MS_PER_SECOND)
            raise OSError(f'{host} is cut off')
        return self._fabric.connect(self._host, host).client

    async def listen(self, host: str, port: int) -> SocketListener:
        """Return a listener, which accepts connections once it serves."""
        listener = MemoryListener(fabric=self._fabric, host=self._host)
        return cast('SocketListener', listener)
