"""Network with injected delays, partitions and silent connections."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import anyio

from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.lab.faulty_streams import FaultyDatagrams
from savorystand.lab.faulty_streams import FaultyListener
from savorystand.lab.faulty_streams import FaultyStream
from savorystand.lab.faulty_streams import LinkConditions
from savorystand.transport.network import Network

if TYPE_CHECKING:
    from anyio.abc import ByteStream
    from anyio.abc import SocketListener
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus
    from anyio.abc import UDPSocket

# Time after which a connection attempt to a peer that is cut off fails, as if
# its SYN packets were lost.
_CUT_CONNECT_TIMEOUT_MS = 3000


class FaultyNetwork(Network, Service):
    """TCP and UDP between loopback addresses, with injected faults.

    Each failure domain has its own prefix of IP addresses, so that the address
    of a peer shows its failure domain. Faults are set at both ends.
    """

    __slots__ = ('_clock', '_host', '_conditions', '_outgoing', '_tasks')

    def __init__(self, *, host: str, delays_ms: dict[str, float]) -> None:
        """Create a network without partitions.

        ``host`` is the local address, from which connections are opened.
        ``delays_ms`` maps prefixes of peer addresses to one-way delays.
        """
        self._clock = Clock()
        self._host = host
        self._conditions = LinkConditions(delays_ms=delays_ms)
        self._outgoing: list[FaultyStream] = []
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Run the tasks that send delayed traffic until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a TCP connection after a delay of one round trip.

        Raises:
            OSError: the peer is unreachable or cut off.
        """
        await self._clock.sleep(2 * self._conditions.delay_ms(host))
        if self._conditions.is_cut(host):
            await self._clock.sleep(_CUT_CONNECT_TIMEOUT_MS)
            raise OSError(f'{host} is cut off')
        stream = await anyio.connect_tcp(host, port, local_host=self._host)
        wrapped = self._wrap(stream, host)
        self._outgoing.append(wrapped)
        return wrapped

    async def listen(self, host: str, port: int) -> SocketListener:
        """Bind a TCP listener.

        Raises:
            OSError: the address is in use or not a local one.
        """
        inner = await super().listen(host, port)
        listener = FaultyListener(inner=inner, wrap=self._wrap)
        return cast('SocketListener', listener)

    async def datagrams(self, host: str, port: int) -> UDPSocket:
        """Bind a UDP socket.

        Raises:
            OSError: the address is in use or not a local one.
        """
        inner = await super().datagrams(host, port)
        datagrams = FaultyDatagrams(
            inner=inner, conditions=self._conditions, tasks=self._task_group()
        )
        return cast('UDPSocket', datagrams)

    def cut(self, prefixes: list[str]) -> None:
        """Cut off the peers whose address starts with one of ``prefixes``.

        All other peers become reachable.
        """
        self._conditions.replace_cuts(tuple(prefixes))

    def silence(self, share: float, seed: int) -> int:
        """Silence a fraction of the connections that this node has opened.

        They stay open and never carry data again; connections opened later
        work. Return the number of connections silenced.
        """
        open_streams = [stream for stream in self._outgoing if stream.is_open()]
        self._outgoing = open_streams
        number = round(len(open_streams) * share)
        for stream in random.Random(seed).sample(open_streams, number):
            stream.silence()
        return number

    def _wrap(self, inner: ByteStream, peer: str) -> FaultyStream:
        stream = FaultyStream(
            inner=inner, peer=peer, conditions=self._conditions
        )
        self._task_group().start_soon(stream.send_queued)
        return stream

    def _task_group(self) -> TaskGroup:
        if self._tasks is None:
            raise OSError('the faulty network is not running')
        return self._tasks
