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

_PARALLEL_SENDERS = 8
# A node that sends no response within this time is waiting for the rest of
# an incomplete message.
_RESPONSE_TIMEOUT_SECONDS = 0.05
_CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.EndOfStream)


class CaseSender:
    """Sends frames, HTTP requests and datagrams to one node."""

    __slots__ = ('_placement', '_authenticator', 'refused', 'sent')

    def __init__(self, *, placement: NodePlacement) -> None:
        """Create a sender to the node at ``placement``."""
        self._placement = placement
        self._authenticator = DatagramAuthenticator(admin_key=ADMIN_KEY)
        self.sent = 0
        # Messages that led to an error response or a closed connection;
        # datagrams have no response and are not counted.
        self.refused = 0

    async def send_all(self, cases: Iterable[Case]) -> None:
        """Send all cases that stay on loopback, several at a time."""
        pending = iter(cases)
        async with anyio.create_task_group() as tasks:
            for _ in range(_PARALLEL_SENDERS):
                tasks.start_soon(self._send_pending, pending)

    async def _send_pending(self, pending: Iterator[Case]) -> None:
        for case in pending:
            # Mutated member records must not make the node contact other
            # machines.
            if stays_on_loopback(case):
                await self._send(case)

    async def _send(self, case: Case) -> None:
        match case.kind:
            case Kind.FRAMES:
                response = await _exchange(self._placement.peers, case.payload)
                self._record(refused=response is None)
            case Kind.HTTP:
                response = await _exchange(
                    self._placement.callers, case.payload
                )
                self._record(
                    refused=not (response or b'').startswith(_SUCCESS_PREFIX)
                )
            case Kind.DATAGRAMS:
                await self._send_datagram(case.payload)
                self._record(refused=False)

    async def _send_datagram(self, payload: bytes) -> None:
        peers = self._placement.peers
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for datagram in (payload, self._authenticator.sign(payload)):
                udp.sendto(datagram, (peers.host, peers.port))
        # Lets the node drain its receive buffer before the next datagrams.
        await anyio.sleep(_RESPONSE_TIMEOUT_SECONDS / _PARALLEL_SENDERS)

    def _record(self, *, refused: bool) -> None:
        self.sent += 1
        self.refused += refused


_SUCCESS_PREFIX = b'HTTP/1.1 2'


async def _exchange(address: Address, payload: bytes) -> bytes | None:
    """Return the first bytes of the response.

    The result is empty if none arrives in time, and None if the node closed
    the connection.
    """
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        try:
            await stream.send(payload)
        except _CONNECTION_ERRORS:
            return None
        with anyio.move_on_after(_RESPONSE_TIMEOUT_SECONDS):
            return await _receive(stream)
    return b''


async def _receive(stream: anyio.abc.ByteReceiveStream) -> bytes | None:
    try:
        return await stream.receive()
    except _CONNECTION_ERRORS:
        return None
