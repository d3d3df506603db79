"""Sends messages to a running node over loopback."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.corpus.cases import Case
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.decoders import stays_on_loopback
from savorystand.lab.deployments.settings_file import ADMIN_KEY
from savorystand.trust.datagram_authenticator import DatagramAuthenticator

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from savorystand.lab.deployments.places import NodePlacement
    from savorystand.settings.node import Address

_PARALLEL = 8
# A node that has not answered by then waits for the rest of a message.
_WAIT_SECONDS = 0.05
_CLOSED = (OSError, anyio.BrokenResourceError, anyio.EndOfStream)


class LiveNode:
    """One node as target of messages of the network's kinds."""

    __slots__ = ('_place', '_authenticator', 'refused', 'tried')

    def __init__(self, *, place: NodePlacement) -> None:
        """Send to the node at ``place``."""
        self._place = place
        self._authenticator = DatagramAuthenticator(admin_key=ADMIN_KEY)
        self.tried = 0
        # Messages that were answered with an error or a closed connection;
        # datagrams have no answer and are not counted.
        self.refused = 0

    async def send_all(self, cases: Iterable[Case]) -> None:
        """Send each case, several at a time."""
        pending = iter(cases)
        async with anyio.create_task_group() as tasks:
            for _ in range(_PARALLEL):
                tasks.start_soon(self._work, pending)

    async def _work(self, pending: Iterator[Case]) -> None:
        for case in pending:
            # Mutated member records must not lead the node off the machine.
            if stays_on_loopback(case):
                await self._send(case)

    async def _send(self, case: Case) -> None:
        match case.kind:
            case Kind.FRAMES:
                reply = await _exchange(self._place.peers, case.payload)
                self._count(refused=reply is None)
            case Kind.HTTP:
                reply = await _exchange(self._place.callers, case.payload)
                self._count(refused=not (reply or b'').startswith(_SUCCESS))
            case Kind.DATAGRAMS:
                await self._send_datagram(case.payload)
                self._count(refused=False)

    async def _send_datagram(self, payload: bytes) -> None:
        peers = self._place.peers
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for datagram in (payload, self._authenticator.sign(payload)):
                udp.sendto(datagram, (peers.host, peers.port))
        # Lets the node empty its socket's buffer.
        await anyio.sleep(_WAIT_SECONDS / _PARALLEL)

    def _count(self, *, refused: bool) -> None:
        self.tried += 1
        self.refused += refused


_SUCCESS = b'HTTP/1.1 2'


async def _exchange(address: Address, payload: bytes) -> bytes | None:
    """Return the first bytes of the answer, None if the node hung up."""
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        try:
            await stream.send(payload)
        except _CLOSED:
            return None
        with anyio.move_on_after(_WAIT_SECONDS):
            return await _receive(stream)
    return b''


async def _receive(stream: anyio.abc.ByteReceiveStream) -> bytes | None:
    try:
        return await stream.receive()
    except _CLOSED:
        return None
