"""The UDP socket of membership."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio

if TYPE_CHECKING:
    from anyio.abc import UDPSocket

    from savorystand.trust.datagram_authenticator import DatagramAuthenticator

DatagramReceiver: TypeAlias = Callable[[bytes, str, int], None]

# Bounds the datagrams queued for the socket; further ones are dropped.
_MAX_QUEUED = 256


class DatagramPort:
    """Signs and queues datagrams to send; verifies received ones."""

    __slots__ = ('_inbox', '_outbox', '_authenticator')

    def __init__(self, *, authenticator: DatagramAuthenticator) -> None:
        """Create the queue of datagrams to send."""
        self._authenticator = authenticator
        streams = anyio.create_memory_object_stream[tuple[bytes, str, int]](
            _MAX_QUEUED,
        )
        self._outbox = streams[0]
        self._inbox = streams[1]

    def send(self, datagram: bytes, host: str, port: int) -> None:
        """Sign and queue a datagram; drop it as lost if it is full."""
        signed = self._authenticator.sign(datagram)
        try:
            self._outbox.send_nowait((signed, host, port))
        except anyio.WouldBlock:
            # The protocol tolerates loss and repeats its messages.
            return

    async def deliver(self, udp: UDPSocket) -> None:
        """Send queued datagrams until cancelled."""
        async for datagram, host, port in self._inbox:
            try:
                await udp.sendto(datagram, host, port)
            except OSError:
                # No path to the receiver: the datagram counts as lost.
                await anyio.lowlevel.checkpoint()

    async def receive(self, udp: UDPSocket, receiver: DatagramReceiver) -> None:
        """Pass datagrams with a valid tag on until cancelled."""
        async for datagram, (host, port) in udp:
            payload = self._authenticator.verify(datagram)
            if payload is not None:
                receiver(payload, host, port)
