"""Guards against limits of the system below those of the operator.

The configuration allows 16 KiB of headers. Requests within that have to pass
through two nodes, whatever texts they consist of, and their answers as well.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import anyio
import pytest

from tests.clients.deployment import running_deployment

if TYPE_CHECKING:
    from pathlib import Path

    from tests.clients.deployment import Deployment

pytestmark = pytest.mark.anyio
_MAX_HEADER_BYTES = 16384
# What the other headers of a request may take of it.
_RESERVED_BYTES = 1024
_SMALL_PATH = '/small/'
_ANSWER_SECONDS = 20
_LONG_ID = 'x' * (_MAX_HEADER_BYTES - _RESERVED_BYTES)
_IDS = (
    'x' * 130,
    _LONG_ID,
    'order 17, second try',
    'a;b;c',
    'Z\xfcrich',
    '"quoted" {id}',
)


async def _send(
    deployment: Deployment,
    *,
    path: str = '/small/a',
    request_id: str = 'limits',
    headers: bytes = b'',
) -> bytes:
    """Return status line and headers of the answer to a request."""
    with anyio.fail_after(_ANSWER_SECONDS):
        entry = deployment.entry
        conn = await anyio.connect_tcp(entry.host, entry.port)
        async with conn:
            await conn.send(
                b'GET %b HTTP/1.1\r\nhost: %b\r\nrequest-id: %b\r\n'
                b'deadline-ms: 10000\r\nconnection: close\r\n%b\r\n'
                % (
                    path.encode(),
                    entry.host.encode(),
                    request_id.encode('latin-1'),
                    headers,
                )
            )
            received = b''
            while b'\r\n\r\n' not in received:
                received += await conn.receive()
            return received.partition(b'\r\n\r\n')[0]


def _status(head: bytes) -> int:
    return int(head.split()[1])


def _answered_id(head: bytes) -> str:
    found = re.search(rb'(?im)^request-id: *([^\r\n]*)', head)
    return found[1].decode('latin-1') if found else ''


async def test_requests_within_the_limits_are_served(tmp_path: Path) -> None:
    """Many headers, a long path or a long id must not get a 413."""
    async with running_deployment(tmp_path) as deployment:
        for count in (80, 1000):
            many = b''.join(
                [b'x-%d: a\r\n' % number for number in range(count)]
            )
            assert _status(await _send(deployment, headers=many)) == 200
        for size in (10000, _MAX_HEADER_BYTES):
            path = _SMALL_PATH.ljust(size, 'x')
            assert _status(await _send(deployment, path=path)) == 200
        for request_id in _IDS:
            head = await _send(deployment, request_id=request_id)
            assert (_status(head), _answered_id(head)) == (200, request_id)
        deployment.check()


async def test_white_space_around_an_id_is_no_part_of_it(
    tmp_path: Path,
) -> None:
    """An answer must not count as that to another request for a space."""
    async with running_deployment(tmp_path) as deployment:
        for request_id in (' \tspaced', 'spaced \t', '  spaced  '):
            head = await _send(deployment, request_id=request_id)
            assert (_status(head), _answered_id(head)) == (200, 'spaced')


async def test_requests_beyond_the_limits_are_refused(tmp_path: Path) -> None:
    """What exceeds the limits gets a refusal of its own."""
    async with running_deployment(tmp_path) as deployment:
        for headers in (
            b'x: %b\r\n' % (b'y' * _MAX_HEADER_BYTES),
            b'x: y\r\n' * _MAX_HEADER_BYTES,
        ):
            assert _status(await _send(deployment, headers=headers)) == 413
        path = _SMALL_PATH.ljust(_MAX_HEADER_BYTES + 1, 'x')
        assert _status(await _send(deployment, path=path)) == 413
        assert await deployment.ordinary_status() == 200
        deployment.check()


async def test_answers_with_many_headers_are_delivered(tmp_path: Path) -> None:
    """A worker chooses the number of headers of its answers."""
    async with running_deployment(tmp_path) as deployment:
        for count in (120, 2000):
            names = [b'x-%d' % number for number in range(count)]
            deployment.worker.answer_headers = b''.join(
                [b'%b: a\r\n' % name for name in names]
            )
            head = await _send(deployment)
            assert _status(head) == 200
            assert all(b'\r\n%b: a' % name in head for name in names)
        deployment.check()
