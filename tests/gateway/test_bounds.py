"""Tests for the limits of the ASGI listeners on clients.

They guard against clients that crash a node with malformed input, exhaust its
connections or memory by slow or large requests, and against limits that reject
a valid upload.
"""

from __future__ import annotations

import math
import socket
from contextlib import contextmanager
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import pytest
from anyio.from_thread import start_blocking_portal
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.clock import Clock
from savorystand.gateway import asgi
from savorystand.gateway import protocol
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.cases import load_cases
from savorystand.memory.account import MemoryAccount
from savorystand.memory.errors import MemoryShortError
from tests.reporting.nodes import running_node
from tests.wire.test_codec import mutations

if TYPE_CHECKING:
    from collections.abc import Iterator

_HEAD = b'POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: %d'
_HEAD_END = b'\r\n\r\n'
_MAX_BODY_BYTES = 16777216


@pytest.fixture(scope='module')
def node() -> Iterator[str]:
    """Run one node for all tests of this module; return its address."""
    with start_blocking_portal() as portal:
        with portal.wrap_async_context_manager(running_node('a1')) as address:
            yield address


@contextmanager
def _connect(node: str) -> Iterator[socket.socket]:
    host, _, port = node.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=30) as sock:
        yield sock


def _exchange(node: str, payload: bytes) -> bytes:
    """Return the first bytes of the response, empty if there is none."""
    with _connect(node) as sock, suppress(ConnectionError):
        sock.sendall(payload)
        return sock.recv(65536)
    return b''


def _is_healthy(node: str) -> bool:
    request = b'GET /savorystand/healthz HTTP/1.1\r\nHost: a\r\n\r\n'
    return _exchange(node, request).startswith(b'HTTP/1.1 200')


@settings(
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(payload=st.binary(min_size=1) | mutations(Kind.HTTP))
def test_node_serves_after_arbitrary_input(node: str, payload: bytes) -> None:
    """Arbitrary input from one client does not stop service for the next."""
    with _connect(node) as sock, suppress(ConnectionError):
        sock.sendall(payload)
    assert _is_healthy(node)


@pytest.mark.parametrize(
    'name',
    [
        'header-without-end',
        'keys-count-of-5000-digits',
        'path-of-9000-bytes',
        'request-line-without-end',
        'sixty-five-headers',
        'trailer-without-end',
    ],
)
def test_requests_beyond_bounds_are_refused(
    node: str,
    name: str,
    pytestconfig: pytest.Config,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests beyond a bound get a 4xx status or a closed connection."""
    # Without timeouts, only the size bounds can end a connection.
    monkeypatch.setattr(protocol, 'HEAD_TIMEOUT_SECONDS', math.inf)
    monkeypatch.setattr(protocol, 'BODY_IDLE_TIMEOUT_SECONDS', math.inf)
    cases = load_cases(pytestconfig.rootpath / 'tests' / 'corpus')
    payload = next(case.payload for case in cases if case.name == name)
    response = _exchange(node, payload)
    assert response == b'' or response.startswith(b'HTTP/1.1 4')
    assert _is_healthy(node)


def test_longest_body_is_accepted(node: str) -> None:
    """A body of 16 MiB in small parts is accepted; one more byte is not."""
    for size, status in (
        (_MAX_BODY_BYTES, b'404'),
        (_MAX_BODY_BYTES + 1, b'413'),
    ):
        with _connect(node) as sock:
            sock.sendall(b''.join((_HEAD % size, _HEAD_END)))
            with suppress(ConnectionError):
                for _ in range(256):
                    sock.sendall(bytes(65536))
                sock.sendall(bytes(size - _MAX_BODY_BYTES))
            assert sock.recv(65536).split()[1] == status


@pytest.mark.parametrize(
    'bound', ['HEAD_TIMEOUT_SECONDS', 'BODY_IDLE_TIMEOUT_SECONDS']
)
def test_slow_clients_are_disconnected(
    node: str, bound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An incomplete head or body does not occupy a connection forever."""
    monkeypatch.setattr(protocol, bound, 0)
    payload = (
        _HEAD % 9
        if bound == 'HEAD_TIMEOUT_SECONDS'
        else b''.join((_HEAD % 9, _HEAD_END, b'abc'))
    )
    assert _exchange(node, payload) == b''


def test_connections_are_bounded(
    node: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connections beyond the bound are aborted; later ones are served."""
    monkeypatch.setattr(protocol, 'MAX_CONNECTIONS', 0)
    assert not _is_healthy(node)
    monkeypatch.undo()
    assert _is_healthy(node)


@pytest.mark.anyio
async def test_unfinished_bodies_are_bounded() -> None:
    """Without memory new bodies are refused, and a started one completes."""
    account = MemoryAccount(clock=Clock(), max_bytes=21)
    reader = asgi.BodyReader(account=account)
    parts = [b'x' * 20, b'y']
    resume = anyio.Event()
    bodies = []

    async def receive() -> dict[str, object]:
        if len(parts) == 1:
            await resume.wait()
        body = parts.pop(0)
        more = bool(parts)
        return {'type': 'http.request', 'body': body, 'more_body': more}

    async def receive_first_part() -> dict[str, object]:
        return {'type': 'http.request', 'body': b'zz', 'more_body': True}

    async def read() -> None:
        bodies.append(await reader.read(receive))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await anyio.wait_all_tasks_blocked()
        with pytest.raises(MemoryShortError):
            await reader.read(receive_first_part)
        resume.set()
    assert [len(body) for body in bodies] == [21]
