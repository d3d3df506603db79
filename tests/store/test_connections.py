"""Guards against services that fail, as a store resets their connections."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import anyio
import httpcore
import pytest

from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterator

# About one connection in twenty is reset in the moment in question.
_REQUESTS = 600
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def _reset_all(listener: socket.socket) -> None:
    while True:
        try:
            conn, _ = listener.accept()
        except OSError:
            return
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        conn.close()


@contextmanager
def _resetting_store() -> Iterator[Address]:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=_reset_all, args=[listener])
        thread.start()
        try:
            yield Address(host='127.0.0.1', port=listener.getsockname()[1])
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


async def _lose_socket(*_: object, **options: object) -> None:
    socket_of_closed_transport: Any = None
    socket_of_closed_transport.setsockopt(options)


# The same in the moment in question, which the test below hits in some runs only.
@pytest.mark.anyio
async def test_connection_without_a_socket_is_an_error_of_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No byte of the request has been sent."""
    monkeypatch.setattr(httpcore.AnyIOBackend, 'connect_tcp', _lose_socket)
    conns = ServiceConnections(
        address=Address(host='127.0.0.1', port=1), key=''
    )
    with pytest.raises(StoreUnavailableError):
        await conns.send(ServiceRequest(method='GET', path='/'))


# Guards against an error that is none of the store: with it the service that sent
# the request ends, and after some of these the node.
def test_connection_that_is_reset_at_once_is_an_error_of_the_store() -> None:
    """Nodes run on uvloop, which lets go of the socket of such a connection."""

    async def send_requests(address: Address) -> int:
        conns = ServiceConnections(address=address, key='')
        failed = 0
        for _ in range(_REQUESTS):
            try:
                await conns.send(ServiceRequest(method='GET', path='/'))
            except StoreError:
                failed += 1
        return failed

    with _resetting_store() as address:
        failed = anyio.run(
            send_requests, address, backend_options={'use_uvloop': True}
        )
    assert failed == _REQUESTS
