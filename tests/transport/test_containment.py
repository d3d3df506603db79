"""Guards against one unexpected error that ends the whole node."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest
from logbook import TestHandler as RecordingHandler

from savorystand.clock import Clock
from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.samples import samples
from savorystand.membership.datagrams import DatagramPort
from savorystand.reporting.logs import EventLog
from savorystand.transport.direct import DirectNetwork
from savorystand.transport.peers import PeerTransport
from savorystand.trust.datagram_authenticator import DatagramAuthenticator
from savorystand.wire.codec import MAX_FRAME_BYTES
from savorystand.wire.codec import encode_frame
from savorystand.wire.gen.wire import ttypes
from tests.ports import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio
_LEAVING = encode_frame(ttypes.Frame(leaving=ttypes.Leaving(node_id='a' * 16)))
_CALL = samples(Kind.FRAMES)[0]
_PING = encode_frame(ttypes.Frame(ping=ttypes.Ping(sequence=1)))


class _FaultyControl:
    def answer(self, frame: Message) -> Message | None:
        raise RuntimeError('a fault of the control service')


class _LongControl:
    def answer(self, frame: Message) -> Message | None:
        return ttypes.Frame(
            leaving=ttypes.Leaving(node_id='a' * (MAX_FRAME_BYTES + 1))
        )


class _Inbound:
    """Serves no calls in this test."""


class _Datagrams:
    """A UDP socket that has received two datagrams and then is closed."""

    def __init__(self, datagram: bytes) -> None:
        self._datagrams = [datagram, datagram]

    def __aiter__(self) -> _Datagrams:
        return self

    async def __anext__(self) -> tuple[bytes, tuple[str, int]]:
        if not self._datagrams:
            raise StopAsyncIteration
        return self._datagrams.pop(), ('127.0.0.1', 1)


@asynccontextmanager
async def _listening(
    monkeypatch: pytest.MonkeyPatch,
    control: type[_FaultyControl | _LongControl] = _FaultyControl,
) -> AsyncIterator[int]:
    for name, double in (
        ('InboundHandler', _Inbound),
        ('ControlResponder', control),
    ):
        monkeypatch.setattr(f'savorystand.transport.peers.{name}', double)
    kernel = Kernel()
    kernel.register('clock', Clock())
    kernel.register('network', DirectNetwork())
    kernel.register('inbound', _Inbound())
    kernel.register('control', control())
    kernel.register('log', EventLog(clock=ManualClock(), node_id='aa'))
    port = free_port()
    transport = PeerTransport(kernel=kernel, host='127.0.0.1', port=port)
    async with anyio.create_task_group() as tasks:
        await tasks.start(
            lambda task_status: transport.run(task_status=task_status)
        )
        yield port
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('control', [_FaultyControl, _LongControl])
async def test_error_in_one_control_frame_leaves_its_connection(
    control: type[_FaultyControl | _LongControl],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fault while a control frame is handled must cost only that frame.

    Calls share the connection with control frames.
    """
    async with _listening(monkeypatch, control) as port:
        other = await anyio.connect_tcp('127.0.0.1', port)
        faulty = await anyio.connect_tcp('127.0.0.1', port)
        await faulty.send(_LEAVING)
        for conn in (faulty, other):
            await conn.send(_PING)
            with anyio.fail_after(5):
                assert await conn.receive()
            await conn.aclose()


async def test_error_in_one_connection_leaves_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fault while a call is received must cost only its connection."""
    async with _listening(monkeypatch) as port:
        other = await anyio.connect_tcp('127.0.0.1', port)
        faulty = await anyio.connect_tcp('127.0.0.1', port)
        # The stand-in of the inbound service has no method for calls.
        await faulty.send(_CALL)
        with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
            await faulty.receive()
        await other.send(_PING)
        with anyio.fail_after(5):
            assert await other.receive()
        await other.aclose()
        await faulty.aclose()


async def test_malformed_bytes_of_a_peer_are_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The log must tell why the calls on a connection ended together."""
    async with _listening(monkeypatch) as port:
        log_lines = RecordingHandler()
        with log_lines.applicationbound():
            conn = await anyio.connect_tcp('127.0.0.1', port)
            await conn.send(b'\xff' * 8)
            with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
                await conn.receive()
            await conn.aclose()
            with anyio.fail_after(5):
                while not log_lines.records:
                    await anyio.sleep(0.001)
        line = log_lines.records[0].message
        assert 'event=connection-lost' in line
        assert 'exceeds 1048576' in line


async def test_error_in_one_datagram_leaves_the_others() -> None:
    """A fault while a datagram is handled must cost only that datagram."""
    authenticator = DatagramAuthenticator(admin_key='key')
    port = DatagramPort(authenticator=authenticator)
    received: list[bytes] = []

    def fail(payload: bytes, host: str, port: int) -> None:
        received.append(payload)
        raise RuntimeError('a fault of the receiver')

    await port.receive(_Datagrams(authenticator.sign(b'x')), fail)
    assert received == [b'x', b'x']
