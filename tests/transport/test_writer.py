"""Tests of writing several bodies to one connection.

They guard against an upload that waits forever or is truncated while another
one waits for space in the queue, or while the peer reads nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.memory.account import MemoryAccount
from savorystand.transport.connection import PeerConnection
from savorystand.transport.writer import FrameWriter
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.codec import FrameBuffer
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio
# 40 chunks, of which 8 may be queued.
_LARGE_BODY = bytes(655360)


class _StalledStream(anyio.abc.ByteStream):
    """Stream to a peer that neither reads nor sends."""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Wait forever."""
        await anyio.sleep_forever()
        raise AssertionError

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - anyio
        """Wait forever."""
        await anyio.sleep_forever()

    async def send_eof(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""


class _DecodingStream(_StalledStream):
    def __init__(self) -> None:
        self.frames: list[Message] = []
        self._buffer = FrameBuffer()

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - anyio
        """Decode the written frames after yielding to the event loop once."""
        await anyio.lowlevel.checkpoint()
        self.frames.extend(self._buffer.feed(item))


async def test_concurrent_bodies_arrive_complete() -> None:
    """Every body that waits for space is continued until its end."""
    decoding_stream = _DecodingStream()
    writer = FrameWriter(account=MemoryAccount(clock=ManualClock()))
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run, decoding_stream)
            async with anyio.create_task_group() as uploads:
                for stream in (1, 2, 3):
                    uploads.start_soon(
                        writer.send_remaining_chunks, _LARGE_BODY, stream
                    )
            while not writer.idle():
                await anyio.lowlevel.checkpoint()
            await let_tasks_run()
            tasks.cancel_scope.cancel()
    for stream in (1, 2, 3):
        chunks = [
            frame.chunk
            for frame in decoding_stream.frames
            if frame.chunk.stream == stream
        ]
        assert (
            sum(len(chunk.body) for chunk in chunks) == len(_LARGE_BODY) - 16384
        )
        assert [chunk for chunk in chunks if chunk.last] == chunks[-1:]


@pytest.mark.parametrize('cause', ['deadline', 'connection'])
async def test_stalled_upload_ends_with_its_call(cause: str) -> None:
    """An upload to a stalled peer ends with its deadline or connection."""
    clock = ManualClock()
    conn = PeerConnection(
        clock=clock,
        on_load=_ignore_load,
        on_control=lambda frame: None,
    )
    outcomes: list[Outcome] = []

    async def upload() -> None:
        call = make_call(body=_LARGE_BODY, deadline_ms=1000)
        outcomes.append(await conn.call(call))

    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(conn.run, _StalledStream())
            tasks.start_soon(upload)
            tasks.start_soon(upload)
            await let_tasks_run()
            if cause == 'deadline':
                clock.advance(1500)
            else:
                conn.abort()
            await let_tasks_run()
            tasks.cancel_scope.cancel()
    reason = Reason.DEADLINE if cause == 'deadline' else Reason.CONNECTION_LOST
    assert len(outcomes) == 2
    for outcome in outcomes:
        assert outcome.error == MayHaveRun(reason=reason)
    assert conn.in_flight == 0


@pytest.mark.parametrize('cause', ['deadline', 'connection'])
async def test_calls_wait_at_their_source_for_a_stalled_peer(
    cause: str,
) -> None:
    """The first chunks of many calls must not fill the memory of the node.

    What was not queued has not run.
    """
    clock = ManualClock()
    account = MemoryAccount(clock=clock)
    conn = PeerConnection(
        clock=clock,
        on_load=_ignore_load,
        on_control=lambda frame: None,
        account=account,
    )
    outcomes: list[Outcome] = []

    async def call() -> None:
        body = bytes(16000)
        outcomes.append(await conn.call(make_call(body=body, deadline_ms=1000)))

    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(conn.run, _StalledStream())
            await let_tasks_run()
            for _ in range(100):
                tasks.start_soon(call)
            await let_tasks_run()
            assert conn.in_flight == 100
            # The queue and the batch that is written.
            assert 200_000 < account.held_bytes < 600_000
            if cause == 'deadline':
                clock.advance(1500)
            else:
                conn.abort()
            await let_tasks_run()
            tasks.cancel_scope.cancel()
    refusals = [outcome.error for outcome in outcomes]
    unsent = [one for one in refusals if isinstance(one, NotRun)]
    # 256 KiB are queued, and as much may be in the batch that is written.
    assert (len(refusals), len(unsent) >= 60) == (100, True)


def _ignore_load(load: TargetLoad) -> None:
    assert load
