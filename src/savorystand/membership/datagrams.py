"""The UDP socket of membership."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio
from logbook import Logger

if TYPE_CHECKING:
    from anyio.abc import UDPSocket

    from savorystand.trust.datagram_authenticator import DatagramAuthenticator

DatagramReceiver: TypeAlias = Callable[[bytes, str, int], None]

# Bounds the datagrams queued for the socket; further ones are dropped.
_MAX_QUEUED = 256
_log = Logger('savorystand')


class DatagramPort:
    """Signs and queues datagrams to send; verifies received ones."""

    __slots__ = ('_queue_output', '_queue_input', '_authenticator')

    def __init__(self, *, authenticator: DatagramAuthenticator) -> None:
        """Create the queue of datagrams to send."""
        self._authenticator = authenticator
        streams = anyio.create_memory_object_stream[tuple[bytes, str, int]](
            _MAX_QUEUED,
        )
        self._queue_input = streams[0]
        self._queue_output = streams[1]

    def send(self, datagram: bytes, host: str, port: int) -> None:
        """Sign and queue a datagram; drop it if the queue is full."""
        signed = self._authenticator.sign(datagram)
        try:
            self._queue_input.send_nowait((signed, host, port))
        except anyio.WouldBlock:
            # Dropped like a datagram lost on the network: the protocol repeats
            # what matters.
            return

    async def deliver(self, udp: UDPSocket) -> None:
        """Send queued datagrams until cancelled."""
        async for datagram, host, port in self._queue_output:
            try:
                await udp.sendto(datagram, host, port)
            except OSError:
                # There is no path to the receiver: the datagram is lost.
                await anyio.lowlevel.checkpoint()

    async def receive(self, udp: UDPSocket, receiver: DatagramReceiver) -> None:
        """Pass datagrams with a valid tag to ``receiver`` until cancelled."""
        async for datagram, (host, port) in udp:
            # An unexpected error costs one datagram, not the node.
            try:
                self._pass_on(datagram, host, port, receiver)
            except Exception:
                _log.exception(
                    'level=error event=datagram-failed host={}', host
                )

    def _pass_on(
        self, datagram: bytes, host: str, port: int, receiver: DatagramReceiver
    ) -> None:
        payload = self._authenticator.verify(datagram)
        if payload is not None:
            receiver(payload, host, port)
