"""Guards against clients that end a node by filling its memory or descriptors.

In a trial such clients ended a process: it ran out of memory, and the requests
of all its other callers ended with it (letter 11). Each test starts two nodes
and sends a crowd to the first. It checks that both processes live, that their
memory with the bytes that they have not read, and their descriptors, stay
within the settings, and that an ordinary request is answered while the crowd is
connected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from tests.clients.crowd import CHUNKED
from tests.clients.crowd import announcing_head
from tests.clients.crowd import chunks
from tests.clients.crowd import endless_head
from tests.clients.crowd import open_crowd
from tests.clients.crowd import request_head
from tests.clients.deployment import running_deployment

if TYPE_CHECKING:
    from pathlib import Path

    from tests.clients.deployment import Deployment

pytestmark = pytest.mark.anyio
_MIB = 1024 * 1024
_HUGE_HEAD = announcing_head(4096 * _MIB)
_CHUNKED_HEAD = request_head(CHUNKED)
_MEGABYTE_HEAD = announcing_head(1_000_000)
_LONG_HEAD = announcing_head(4 * _MIB)
_EMPTY_HEAD = announcing_head(0)
_LARGE_CHUNK = chunks(_MIB, 1)
_TINY_CHUNKS = chunks(16, 4096)
_SETTLE_SECONDS = 3
# Arguments of ``Crowd.send``.
_MIXED_CROWD = (
    (10, _HUGE_HEAD, bytes(_MIB), 4),
    (10, _CHUNKED_HEAD, _LARGE_CHUNK, 16),
    (10, _CHUNKED_HEAD, _TINY_CHUNKS, 16),
    (100, _MEGABYTE_HEAD, bytes(240_000)),
    (10, _LONG_HEAD, bytes(4 * _MIB)),
    (20, _EMPTY_HEAD),
    (100,),
)


async def _check_served(deployment: Deployment) -> None:
    assert await deployment.ordinary_status() == 200
    await anyio.sleep(_SETTLE_SECONDS)
    deployment.check()


async def test_bodies_announced_beyond_the_limit(tmp_path: Path) -> None:
    """Each client announces 4 GiB and sends 4 MiB."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(30, _HUGE_HEAD, bytes(_MIB), 4)
            await _check_served(deployment)


async def test_bodies_sent_beyond_the_limit(tmp_path: Path) -> None:
    """Each client sends 16 MiB in chunks, and there is no last one."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(30, _CHUNKED_HEAD, _LARGE_CHUNK, 16)
            await _check_served(deployment)


async def test_large_chunks_without_the_last(tmp_path: Path) -> None:
    """Each client sends a body of 4 MiB but the last chunk, and waits."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(30, _CHUNKED_HEAD, _LARGE_CHUNK, 4)
            await _check_served(deployment)


async def test_tiny_chunks_without_the_last(tmp_path: Path) -> None:
    """Each client sends 3 MiB in chunks of 16 bytes, and waits."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(30, _CHUNKED_HEAD, _TINY_CHUNKS, 48)
            await _check_served(deployment)


async def test_bodies_that_stop_short(tmp_path: Path) -> None:
    """Each client sends 240 kB of a body of 1 MB, and waits."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(400, _MEGABYTE_HEAD, bytes(240_000))
            await _check_served(deployment)


async def test_bodies_that_trickle(tmp_path: Path) -> None:
    """Each client sends 190 kB of a body of 1 MB, then a byte now and then."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(500, _MEGABYTE_HEAD, bytes(190_000))
            for _ in range(4):
                await crowd.trickle(b'x')
                await anyio.sleep(1)
            await _check_served(deployment)


async def test_heads_without_an_end(tmp_path: Path) -> None:
    """Each client sends 60 kB of headers, and waits."""
    async with running_deployment(tmp_path) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(1500, endless_head(60_000))
            await _check_served(deployment)


async def test_complete_bodies_at_a_slow_worker(tmp_path: Path) -> None:
    """The worker answers none of the requests, of 4 MiB each, for a time."""
    async with running_deployment(tmp_path) as deployment:
        worker = deployment.worker
        with open_crowd(deployment.entry) as crowd:
            worker.released.clear()
            await crowd.send(40, _LONG_HEAD, bytes(4 * _MIB))
            await anyio.sleep(_SETTLE_SECONDS)
            worker.released.set()
            await _check_served(deployment)


async def test_long_answers_that_are_not_read(tmp_path: Path) -> None:
    """Each client asks for 4 MiB and reads nothing."""
    async with running_deployment(tmp_path) as deployment:
        deployment.worker.answer_bytes = 4 * _MIB
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(40, _EMPTY_HEAD)
            await anyio.sleep(_SETTLE_SECONDS)
            await _check_served(deployment)


async def test_connections_without_a_byte(tmp_path: Path) -> None:
    """There are more of them than descriptors."""
    async with running_deployment(tmp_path, max_fds=400) as deployment:
        with open_crowd(deployment.entry) as crowd:
            await crowd.send(450)
            await _check_served(deployment)


async def test_all_kinds_at_once(tmp_path: Path) -> None:
    """Crowds of each kind come at the same time."""
    async with running_deployment(tmp_path) as deployment:
        deployment.worker.answer_bytes = 4 * _MIB
        with open_crowd(deployment.entry) as crowd:
            async with anyio.create_task_group() as tasks:
                for members in _MIXED_CROWD:
                    tasks.start_soon(crowd.send, *members)
            await crowd.trickle(b'x')
            await _check_served(deployment)
