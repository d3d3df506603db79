"""Failures: an upload waits for ever, or is cut, beside another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.transport.connection import PeerConnection
from savorystand.transport.writer import FrameWriter
from savorystand.verdict import MayHaveRun
from savorystand.verdict import Reason
from savorystand.wire.codec import FrameBuffer
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio
# Forty chunks, of which eight may wait.
_BODY = bytes(655360)


class _StalledStream(anyio.abc.ByteStream):
    """A peer that reads nothing."""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive nothing."""
        await anyio.sleep_forever()
        raise AssertionError

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - anyio
        """Wait for the peer."""
        await anyio.sleep_forever()

    async def send_eof(self) -> None:
        """Send nothing."""

    async def aclose(self) -> None:
        """Close nothing."""


class _DecodingStream(_StalledStream):
    def __init__(self) -> None:
        self.frames: list[Message] = []
        self._buffer = FrameBuffer()

    async def send(self, item: bytes) -> None:  # noqa: WPS110 - anyio
        """Take what is written, a turn of the loop later."""
        await anyio.lowlevel.checkpoint()
        self.frames.extend(self._buffer.feed(item))


async def test_concurrent_bodies_arrive_complete() -> None:
    """Of two bodies that wait for room one must not be forgotten."""
    decoded = _DecodingStream()
    writer = FrameWriter()
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run, decoded)
            async with anyio.create_task_group() as uploads:
                for stream in (1, 2, 3):
                    uploads.start_soon(
                        writer.send_remaining_chunks, _BODY, stream
                    )
            while not writer.idle():
                await anyio.lowlevel.checkpoint()
            await let_tasks_run()
            tasks.cancel_scope.cancel()
    for stream in (1, 2, 3):
        chunks = [
            frame.chunk
            for frame in decoded.frames
            if frame.chunk.stream == stream
        ]
        assert sum(len(chunk.body) for chunk in chunks) == len(_BODY) - 16384
        assert [chunk for chunk in chunks if chunk.last] == chunks[-1:]


@pytest.mark.parametrize('ends', ['deadline', 'connection'])
async def test_stalled_upload_ends_with_its_call(ends: str) -> None:
    """A call must not outlive its deadline or its connection."""
    clock = ManualClock()
    conn = PeerConnection(
        clock=clock,
        on_load=_ignore_load,
        on_control=lambda frame: None,
    )
    outcomes: list[Outcome] = []

    async def upload() -> None:
        call = make_call(body=_BODY, deadline_ms=1000)
        outcomes.append(await conn.call(call))

    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(conn.run, _StalledStream())
            tasks.start_soon(upload)
            tasks.start_soon(upload)
            await let_tasks_run()
            if ends == 'deadline':
                clock.advance(1500)
            else:
                conn.abort()
            await let_tasks_run()
            tasks.cancel_scope.cancel()
    reason = Reason.DEADLINE if ends == 'deadline' else Reason.CONNECTION_LOST
    assert len(outcomes) == 2
    for outcome in outcomes:
        assert outcome.error == MayHaveRun(reason=reason)
    assert conn.in_flight == 0


def _ignore_load(load: TargetLoad) -> None:
    assert load
