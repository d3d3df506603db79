"""Access of a node to the network; the lab replaces it to inject faults."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import cast

import anyio

if TYPE_CHECKING:
    from anyio.abc import ByteStream
    from anyio.abc import SocketListener
    from anyio.abc import UDPSocket


class Network:
    """Opens TCP connections, TCP listeners and UDP sockets by IP address."""

    __slots__ = ()

    async def connect(self, host: str, port: int) -> ByteStream:
        """Open a TCP connection.

        Raises:
            OSError: the peer is unreachable or refuses the connection.
        """
        stream = await anyio.connect_tcp(host, port)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream

    async def listen(self, host: str, port: int) -> SocketListener:
        """Bind a TCP listener.

        Raises:
            OSError: the address is in use or does not belong to this host.
        """
        listeners = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
        )
        return cast('SocketListener', listeners.listeners[0])

    async def datagrams(self, host: str, port: int) -> UDPSocket:
        """Bind a UDP socket.

        Raises:
            OSError: the address is in use or does not belong to this host.
        """
        return await anyio.create_udp_socket(local_host=host, local_port=port)
