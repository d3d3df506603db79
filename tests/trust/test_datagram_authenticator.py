"""Tests of the authentication of datagrams.

They guard against forged or altered datagrams that change the membership which
a node knows.
"""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.membership.conversion import MAX_DATAGRAM_BYTES
from savorystand.membership.datagrams import DatagramPort
from savorystand.transport.network import Network
from savorystand.trust.datagram_authenticator import DatagramAuthenticator
from tests.reporting.nodes import free_address

_AUTHENTICATOR = DatagramAuthenticator(admin_key='key')


@given(st.binary(max_size=MAX_DATAGRAM_BYTES), st.data())
def test_changed_datagram_is_rejected(
    payload: bytes, draw: st.DataObject
) -> None:
    """Changed payloads and tags and those of another key are rejected."""
    signed = _AUTHENTICATOR.sign(payload)
    assert len(signed) <= 1400
    assert _AUTHENTICATOR.verify(signed) == payload
    assert DatagramAuthenticator(admin_key='other').verify(signed) is None
    changed = bytearray(signed)
    changed[draw.draw(st.integers(0, len(signed) - 1))] ^= 1
    assert _AUTHENTICATOR.verify(bytes(changed)) is None
    cut = draw.draw(st.integers(0, len(signed) - 1))
    assert _AUTHENTICATOR.verify(signed[:cut]) is None


@pytest.mark.anyio
async def test_wrong_tag_is_counted_and_dropped() -> None:
    """Only a datagram with a valid tag reaches the membership protocol."""
    authenticator = DatagramAuthenticator(admin_key='key')
    port = DatagramPort(authenticator=authenticator)
    received: list[bytes] = []
    done = anyio.Event()

    def receive(payload: bytes, host: str, source: int) -> None:
        received.append(payload)
        done.set()

    address = free_address()
    network = Network()
    async with (
        await network.datagrams(address.host, address.port) as udp,
        await network.datagrams(address.host, 0) as sender,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(port.receive, udp, receive)
        forged = DatagramAuthenticator(admin_key='other').sign(b'forged')
        for datagram in (b'x', b'plain', forged, authenticator.sign(b'true')):
            await sender.sendto(datagram, address.host, address.port)
        await done.wait()
        tasks.cancel_scope.cancel()
    assert received == [b'true']
    assert authenticator.rejected == 3
