"""Guards against a response that is cut and taken as a whole one.

A target that stops in the middle of a response must not make its caller get a
status 200 with an empty or short body.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.gateway.errors import TargetProtocolError
from savorystand.gateway.http_connection import HttpConnection
from savorystand.memory.account import MemoryAccount

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from savorystand.call import Headers

pytestmark = pytest.mark.anyio
_BODY = b'whole body'
_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: 3e1b.07\r\n'
_LENGTH = b'%bContent-Length: 10\r\n\r\n%b' % (_HEAD, _BODY)
_CHUNKS = b'4\r\nwhol\r\n6\r\ne body\r\n0\r\n\r\n'
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (_HEAD, _CHUNKS)
_INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n%b' % _LENGTH
_BARE = b'%bConnection: close\r\n\r\n%b' % (_HEAD, _BODY)
_RESET = ConnectionResetError('reset')


class _Socket:
    def setsockopt(self, level: int, option: int, setting: int) -> None:
        """Accept any option."""


class _Transport:
    def get_extra_info(self, name: str) -> _Socket:
        return _Socket()

    def writelines(self, sent: Iterable[bytes]) -> None:
        """Drop the request."""

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        """Do nothing: the test reports the end of the connection."""


def _echoes_request(headers: Headers) -> bool:
    return ('request-id', 'r1') in headers


async def _body_of(sent: bytes, end: Exception | None) -> bytes | None:
    """Return the body that a caller gets, None if the exchange fails."""
    conn = HttpConnection(
        clock=ManualClock(), account=MemoryAccount(clock=ManualClock())
    )
    transport: asyncio.BaseTransport = _Transport()  # type: ignore[assignment]
    conn.connection_made(transport)
    bodies: list[bytes | None] = []

    async def exchange() -> None:
        try:
            response = await conn.exchange(b'', b'', 1000, _echoes_request)
        except (OSError, TargetProtocolError):
            bodies.append(None)
        else:
            bodies.append(bytes(response.body))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(exchange)
        await anyio.wait_all_tasks_blocked()
        conn.data_received(sent)
        conn.connection_lost(end)
    return bodies[0]


@pytest.mark.parametrize('whole', [_LENGTH, _CHUNKED, _INTERIM])
@pytest.mark.parametrize('end', [None, _RESET])
async def test_response_cut_at_any_byte_is_no_response(
    whole: bytes, end: Exception | None
) -> None:
    """Only its last byte makes a framed response complete."""
    for size, _ in enumerate(whole):
        assert await _body_of(whole[:size], end) is None, size
    assert await _body_of(whole, end) == _BODY


async def test_bare_response_cut_in_its_head_is_no_response() -> None:
    """Without a length, the body ends with the connection, the head does not."""
    head_size = len(_BARE) - len(_BODY)
    for size in range(head_size):
        assert await _body_of(_BARE[:size], None) is None, size
        assert await _body_of(_BARE[:size], _RESET) is None, size
    for body_size in range(len(_BODY) + 1):
        sent = _BARE[: head_size + body_size]
        assert await _body_of(sent, _RESET) is None, body_size
    assert await _body_of(_BARE, None) == _BODY
