"""A network that delays, cuts and silences traffic between nodes."""

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
from savorystand.lab.faulty_streams import Link
from savorystand.transport.network import Network

if TYPE_CHECKING:
    from anyio.abc import ByteStream
    from anyio.abc import SocketListener
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus
    from anyio.abc import UDPSocket

# What a connection attempt into a cut waits before it fails, as without any
# answer to SYN.
_CUT_CONNECT_MS = 3000


class FaultyNetwork(Network, Service):
    """TCP and UDP between loopback addresses that stand for places.

    Each failure domain has its own prefix of IP numbers, so that the place
    of a peer shows in its address. Faults are set on both ends.
    """

    __slots__ = ('_clock', '_host', '_link', '_opened', '_tasks')

    def __init__(self, *, host: str, delays_ms: dict[str, float]) -> None:
        """Give the one-way delay to each prefix of peer addresses.

        ``host`` is the own address, from which connections are made.
        """
        self._clock = Clock()
        self._host = host
        self._link = Link(delays_ms=delays_ms)
        self._opened: list[FaultyStream] = []
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Carry the delayed traffic until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            await anyio.sleep_forever()

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a TCP connection, which takes a round trip.

        Raises:
            OSError: the peer is unreachable or cut off.
        """
        await self._clock.sleep(2 * self._link.delay_ms(host))
        if self._link.is_cut(host):
            await self._clock.sleep(_CUT_CONNECT_MS)
            raise OSError(f'{host} is cut off')
        stream = await anyio.connect_tcp(host, port, local_host=self._host)
        wrapped = self._wrap(stream, host)
        self._opened.append(wrapped)
        return wrapped

    async def listen(self, host: str, port: int) -> SocketListener:
        """Bind a TCP listener.

        Raises:
            OSError: the address is in use or not ours.
        """
        inner = await super().listen(host, port)
        listener = FaultyListener(inner=inner, wrap=self._wrap)
        return cast('SocketListener', listener)

    async def datagrams(self, host: str, port: int) -> UDPSocket:
        """Bind a UDP socket.

        Raises:
            OSError: the address is in use or not ours.
        """
        inner = await super().datagrams(host, port)
        datagrams = FaultyDatagrams(
            inner=inner, link=self._link, tasks=self._group()
        )
        return cast('UDPSocket', datagrams)

    def cut(self, prefixes: list[str]) -> None:
        """Cut off all peers whose address starts with one of ``prefixes``."""
        self._link.replace_cuts(tuple(prefixes))

    def silence(self, share: float, seed: int) -> int:
        """Silence a share of the connections that this node opened, for good.

        Later ones work. Returns the number of connections silenced.
        """
        live = [stream for stream in self._opened if stream.open()]
        self._opened = live
        number = round(len(live) * share)
        for stream in random.Random(seed).sample(live, number):
            stream.silence()
        return number

    def _wrap(self, inner: ByteStream, peer: str) -> FaultyStream:
        stream = FaultyStream(inner=inner, peer=peer, link=self._link)
        self._group().start_soon(stream.pump)
        return stream

    def _group(self) -> TaskGroup:
        if self._tasks is None:
            raise OSError('the network is not running')
        return self._tasks
