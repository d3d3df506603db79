"""Failures: a client ends a node, holds it, or loses a sound upload."""

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

from savorystand.gateway import asgi
from savorystand.gateway import protocol
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.cases import load_cases
from tests.reporting.nodes import running_node
from tests.wire.test_codec import mutations

if TYPE_CHECKING:
    from collections.abc import Iterator

_HEAD = b'POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: %d'
_END = b'\r\n\r\n'
_BODY = 16777216


@pytest.fixture(scope='module')
def node() -> Iterator[str]:
    """Run one node for all tests of this module."""
    with start_blocking_portal() as portal:
        with portal.wrap_async_context_manager(running_node('a1')) as address:
            yield address


@contextmanager
def _connected(node: str) -> Iterator[socket.socket]:
    host, _, port = node.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=30) as sock:
        yield sock


def _exchange(node: str, payload: bytes) -> bytes:
    """Return the first bytes of the answer, none if the node hung up."""
    with _connected(node) as sock, suppress(ConnectionError):
        sock.sendall(payload)
        return sock.recv(65536)
    return b''


def _healthy(node: str) -> bool:
    request = b'GET /savorystand/healthz HTTP/1.1\r\nHost: a\r\n\r\n'
    return _exchange(node, request).startswith(b'HTTP/1.1 200')


@settings(
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(payload=st.binary(min_size=1) | mutations(Kind.HTTP))
def test_any_bytes_leave_the_node_serving(node: str, payload: bytes) -> None:
    """Whatever a client sends, the next one is served."""
    with _connected(node) as sock, suppress(ConnectionError):
        sock.sendall(payload)
    assert _healthy(node)


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
def test_bounds_refuse(
    node: str,
    name: str,
    pytestconfig: pytest.Config,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What exceeds a bound gets a refusal of the client's or no answer."""
    # The time bound must not do the work of the others.
    monkeypatch.setattr(protocol, 'HEAD_TIMEOUT_SECONDS', math.inf)
    monkeypatch.setattr(protocol, 'BODY_IDLE_TIMEOUT_SECONDS', math.inf)
    cases = load_cases(pytestconfig.rootpath / 'tests' / 'corpus')
    payload = next(case.payload for case in cases if case.name == name)
    reply = _exchange(node, payload)
    assert reply == b'' or reply.startswith(b'HTTP/1.1 4')
    assert _healthy(node)


def test_longest_body_is_taken(node: str) -> None:
    """A body of 16 MiB passes in small parts; one byte more does not."""
    for size, status in ((_BODY, b'404'), (_BODY + 1, b'413')):
        with _connected(node) as sock:
            sock.sendall(b''.join((_HEAD % size, _END)))
            with suppress(ConnectionError):
                for _ in range(256):
                    sock.sendall(bytes(65536))
                sock.sendall(bytes(size - _BODY))
            assert sock.recv(65536).split()[1] == status


@pytest.mark.parametrize(
    'bound', ['HEAD_TIMEOUT_SECONDS', 'BODY_IDLE_TIMEOUT_SECONDS']
)
def test_slow_clients_are_closed(
    node: str, bound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A head or a body that never ends does not hold a connection."""
    monkeypatch.setattr(protocol, bound, 0)
    sent = (
        _HEAD % 9
        if bound == 'HEAD_TIMEOUT_SECONDS'
        else b''.join((_HEAD % 9, _END, b'abc'))
    )
    assert _exchange(node, sent) == b''


def test_connections_are_bounded(
    node: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connections beyond the bound end, and the node recovers."""
    monkeypatch.setattr(protocol, 'MAX_CONNECTIONS', 0)
    assert not _healthy(node)
    monkeypatch.undo()
    assert _healthy(node)


@pytest.mark.anyio
async def test_unfinished_bodies_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New bodies are refused for lack of room; the one begun is finished."""
    monkeypatch.setattr(asgi, 'MAX_UNFINISHED_BYTES', 10)
    reader = asgi.BodyReader()
    parts = [b'x' * 20, b'y']
    go_on = anyio.Event()
    bodies = []

    async def receive() -> dict[str, object]:
        if len(parts) == 1:
            await go_on.wait()
        body = parts.pop(0)
        more = bool(parts)
        return {'type': 'http.request', 'body': body, 'more_body': more}

    async def begun() -> dict[str, object]:
        return {'type': 'http.request', 'body': b'z', 'more_body': True}

    async def read() -> None:
        bodies.append(await reader.read(receive))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await anyio.wait_all_tasks_blocked()
        with pytest.raises(asgi.TooManyBodiesError):
            await reader.read(begun)
        go_on.set()
    assert [len(body) for body in bodies] == [21]
