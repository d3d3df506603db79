"""Tests for the sockets of HTTP listeners.

They guard against responses that wait 40 ms for a delayed acknowledgement,
which happens if Nagle's algorithm is enabled on accepted connections, and
against a stop that waits for a connection which its client keeps open.
"""

from __future__ import annotations

import asyncio
import socket

import anyio
import pytest

from savorystand.gateway.server import HttpListener
from savorystand.gateway.server import bind_tcp
from tests.ports import free_port


def test_accepted_connections_send_without_delay() -> None:
    """Nagle's algorithm is disabled on connections of HTTP listeners."""
    assert anyio.run(_nodelay_of_accepted_connection) != 0


async def _nodelay_of_accepted_connection() -> int:
    accepted: asyncio.Future[int] = asyncio.Future()

    def record_option(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info('socket')
        option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        accepted.set_result(option)
        writer.close()

    sock = bind_tcp('127.0.0.1', 0)
    async with await asyncio.start_server(record_option, sock=sock):
        async with await anyio.connect_tcp(*sock.getsockname()):
            return await accepted


class _SilentApplication:
    """Serves no request."""

    def close_connections(self) -> None:
        """Do nothing."""


@pytest.mark.parametrize('steps', range(6))
def test_connection_accepted_during_the_stop_does_not_delay_it(
    steps: int,
) -> None:
    """A connection that is accepted as the listener closes must end as well.

    The node would exceed its grace period while the client keeps it open.
    """
    anyio.run(_stop_with_new_connection, steps)


async def _stop_with_new_connection(steps: int) -> None:
    address = ('127.0.0.1', free_port())
    listener = HttpListener(
        app=_SilentApplication(), host=address[0], port=address[1]
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        with socket.create_connection(address), anyio.fail_after(5):
            # Lets the event loop get to a part of what accepts a connection.
            for _ in range(steps):
                await asyncio.sleep(0)
            await listener.drain()
        tasks.cancel_scope.cancel()
