"""Guards against calls that are cut because another one found no connection.

A connection that was silent for a second may belong to a peer that is slow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.traffic import Traffic
from savorystand.transport.address import PeerAddress
from savorystand.transport.connection import PeerConnection
from savorystand.transport.network import Network
from savorystand.transport.peers import PeerTransport
from savorystand.transport.server import ServerConnection
from savorystand.verdict import Reason
from tests.policy_doubles import FakeDirectory
from tests.policy_doubles import make_call
from tests.streams import faulty_pair
from tests.transport.test_connection import IgnoredControl
from tests.transport.test_connection import RecordingTarget

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.anyio
_PEER = PeerAddress(node_id='a' * 16, host='127.0.0.1', port=9)


class _Listener:
    async def serve(self, serve_stream: object) -> None:
        await anyio.sleep_forever()


class _Fabric(Network):
    """Connects to a peer whose first connection falls silent."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self.connections = 0
        self._silent_ends: list[anyio.abc.ByteStream] = []

    async def connect(self, host: str, port: int) -> anyio.abc.ByteStream:
        """Return a new connection to a peer; nobody serves the first one."""
        self.connections += 1
        client_end, server_end = faulty_pair()
        if self.connections == 1:
            self._silent_ends.append(server_end)
        else:
            server = ServerConnection(
                clock=Clock(),
                inbound=RecordingTarget(refused_paths=frozenset()),
                control=IgnoredControl(),
            )
            self._tasks.start_soon(server.run, server_end)
        return client_end

    async def listen(self, host: str, port: int) -> _Listener:
        """Return a listener without connections."""
        return _Listener()


async def test_silent_connection_is_replaced_and_its_calls_go_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call on a new connection must not cut those on the silent one."""
    monkeypatch.setattr(PeerConnection, 'recently_active', lambda conn: False)
    clock = Clock()
    kernel = Kernel()
    kernel.register('clock', clock)
    kernel.register('membership', FakeDirectory([]))
    kernel.register('traffic', Traffic())
    transport = PeerTransport(kernel=kernel, host='', port=0)
    outcomes = []

    async def call(timeout_ms: float) -> None:
        deadline_ms = clock.now() + timeout_ms
        sent = make_call(route='lookup', deadline_ms=deadline_ms)
        outcomes.append(await transport.call(_PEER, sent))

    async with anyio.create_task_group() as tasks:
        network = _Fabric(tasks)
        kernel.register('network', network)
        await tasks.start(
            lambda task_status: transport.run(task_status=task_status)
        )
        tasks.start_soon(call, 900)
        connections = transport._connections
        await _until(
            lambda: any(conn.in_flight for conn in connections.values())
        )
        await call(5000)
        assert outcomes[0].is_ok()
        await _until(lambda: len(outcomes) == 2)
        tasks.cancel_scope.cancel()
    assert network.connections == 2
    # Not CONNECTION_LOST: the call had all of its time.
    assert outcomes[1].error.reason is Reason.DEADLINE


async def _until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0.01)
