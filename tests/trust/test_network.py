"""Tests of TLS between nodes.

They guard against a peer of another authority that can connect to a node, and
against a renewed certificate that is not used until the node restarts.
"""

from __future__ import annotations

import ssl
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import pytest
from anyio.streams.tls import TLSAttribute

from savorystand.clock import Clock
from savorystand.transport.network import Network
from savorystand.trust.certificates import Certificates
from savorystand.trust.errors import CertificateError
from savorystand.trust.network import TlsNetwork
from tests.reporting.nodes import free_address
from tests.trust.authority import Authority

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

    from savorystand.settings.node import Address
    from savorystand.settings.node import TlsSettings

pytestmark = pytest.mark.anyio
_CLOSED = (OSError, anyio.BrokenResourceError, anyio.EndOfStream)


def _network(tls: TlsSettings) -> tuple[TlsNetwork, Certificates]:
    certificates = Certificates(tls=tls, clock=Clock())
    return TlsNetwork(inner=Network(), certificates=certificates), certificates


@asynccontextmanager
async def _echo_server(network: Network) -> AsyncIterator[Address]:
    address = free_address()
    listener = await network.listen(address.host, address.port)

    async def echo(stream: ByteStream) -> None:
        try:
            while True:
                await stream.send(await stream.receive())
        except _CLOSED:
            await anyio.aclose_forcefully(stream)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        yield address
        tasks.cancel_scope.cancel()


async def _request_echo(network: Network, address: Address) -> bytes:
    """Return the echoed bytes, or none if the node closes the connection."""
    try:
        stream = await network.connect(address.host, address.port)
        async with stream:
            await stream.send(b'hello')
            return await stream.receive()
    except _CLOSED:
        return b''


async def test_foreign_certificates_are_refused(tmp_path: Path) -> None:
    """Both ends refuse a peer without a certificate of their authority."""
    authority = Authority(tmp_path, 'home')
    foreign = Authority(tmp_path, 'foreign')
    server = _network(authority.issue('server'))[0]
    foreign_tls = foreign.issue('stranger')
    # Trusts the server, so that only the server can refuse the connection.
    foreign_client = replace(foreign_tls, authority=str(authority.path))
    async with _echo_server(server) as address:
        assert await _request_echo(
            _network(authority.issue('peer'))[0], address
        )
        assert not await _request_echo(_network(foreign_tls)[0], address)
        assert not await _request_echo(_network(foreign_client)[0], address)
        assert await _request_echo(Network(), address) != b'hello'
        assert await _request_echo(
            _network(authority.issue('peer'))[0], address
        )
    async with _echo_server(_network(foreign_tls)[0]) as address:
        assert not await _request_echo(server, address)


async def test_renewed_certificate_is_used(tmp_path: Path) -> None:
    """New connections use the new certificate; open ones stay usable."""
    authority = Authority(tmp_path, 'home')
    tls = authority.issue('server')
    server, certificates = _network(tls)
    client = _network(authority.issue('client'))[0]

    async def peer_certificate(address: Address) -> tuple[ByteStream, bytes]:
        stream = await client.connect(address.host, address.port)
        return stream, stream.extra(TLSAttribute.peer_certificate_binary)

    async with _echo_server(server) as address:
        old, first = await peer_certificate(address)
        assert not certificates.refresh()
        assert (await peer_certificate(address))[1] == first
        # An incomplete replacement: the key does not match the certificate.
        key = Path(tls.key).read_bytes()
        Path(tls.key).write_bytes(b'no key')
        assert not certificates.refresh()
        assert (await peer_certificate(address))[1] == first
        Path(tls.key).write_bytes(key)
        authority.issue('server')
        assert certificates.refresh()
        second = (await peer_certificate(address))[1]
        expected = Path(tls.certificate).read_text()
        assert second == ssl.PEM_cert_to_DER_cert(expected)
        assert second != first
        await old.send(b'still')
        assert await old.receive() == b'still'


def test_error_hides_file_content(tmp_path: Path) -> None:
    """A key in the wrong file must not appear in an error or a log."""
    tls = Authority(tmp_path, 'home').issue('server')
    swapped = replace(tls, certificate=tls.key)
    with pytest.raises(CertificateError) as refused:
        Certificates(tls=swapped, clock=Clock())
    secret = Path(tls.key).read_text().splitlines()[1]
    assert tls.key in str(refused.value)
    assert secret not in str(refused.value)
