"""Guards against faults that are not injected or hit other connections.

Experiments would then pass without the fault that they are meant to survive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import anyio
import pytest

from savorystand.lab.faulty_network import FaultyNetwork

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from savorystand.lab.faulty_streams import FaultyListener

pytestmark = pytest.mark.anyio


async def _echo(stream: ByteStream) -> None:
    async for chunk in stream:
        await stream.send(chunk)


async def _is_silent(stream: ByteStream) -> bool:
    await stream.send(b'x')
    with anyio.move_on_after(0.2):
        return not await stream.receive()
    return True


async def test_silenced_connections_stay_silent_and_new_ones_work() -> None:
    """Silence is permanent and spares new connections; a cut can end.

    Data sent during a cut arrives after its end.
    """
    network = FaultyNetwork(host='127.0.0.1', delays_ms={'127.': 1})
    async with anyio.create_task_group() as tasks:
        await tasks.start(network.run)
        listener = await network.listen('127.0.0.1', 0)
        port = cast('FaultyListener', listener).local_port()
        tasks.start_soon(listener.serve, _echo)
        first = await network.connect('127.0.0.1', port)
        assert not await _is_silent(first)
        assert network.silence(1, 1) == 1
        assert await _is_silent(first)
        second = await network.connect('127.0.0.1', port)
        assert not await _is_silent(second)
        network.cut(['127.0.0.'])
        assert await _is_silent(second)
        network.cut([])
        assert await second.receive() == b'x'
        tasks.cancel_scope.cancel()
