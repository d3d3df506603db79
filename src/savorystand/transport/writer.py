"""Writes frames to a connection, short ones ahead of body chunks."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio

from savorystand.memory.held_count import HeldCount
from savorystand.transport.conversion import chunk_frames
from savorystand.transport.direct import DirectStream
from savorystand.wire.codec import Message
from savorystand.wire.codec import encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import ByteSendStream

    from savorystand.call import Body
    from savorystand.memory.account import MemoryAccount

FrameObserver: TypeAlias = 'Callable[[Message, int], None]'

# Bound on the queued chunks of one connection, so that an upload waits at its
# source instead of filling the memory of the node.
_MAX_QUEUED_CHUNKS = 8
# The same for frames that open calls and responses, which carry up to a chunk.
_MAX_SHORT_BYTES = 262144


def _never_ended() -> bool:
    return False


class FrameWriter:
    """Outgoing queue of one connection, which the task of ``run`` writes."""

    __slots__ = (
        '_chunks',
        '_held',
        '_on_frame',
        '_space_freed',
        '_short_bytes',
        '_short_frames',
        '_try_send',
        '_wake',
    )

    def __init__(
        self,
        *,
        account: MemoryAccount,
        on_frame: FrameObserver | None = None,
    ) -> None:
        """Create an empty queue, whose frames count towards ``account``.

        ``on_frame`` is called with each frame and its encoded length.
        """
        self._held = HeldCount(account=account)
        self._on_frame = on_frame
        # Writes without the queue, if the stream supports that.
        self._try_send: Callable[[bytes], bool] | None = None
        self._short_frames: deque[bytes] = deque()
        self._short_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._wake = anyio.Event()
        self._space_freed = anyio.Event()

    def send(self, frame: Message) -> None:
        """Queue a short frame ahead of all queued chunks.

        Raises:
            FrameError: the frame exceeds ``MAX_FRAME_BYTES``.
        """
        encoded = encode_frame(frame)
        if self._on_frame is not None:
            self._on_frame(frame, len(encoded))
        self.send_encoded(encoded)

    def send_encoded(self, encoded: bytes) -> None:
        """Queue an encoded short frame, or write it at once if possible."""
        if self._try_send is not None and self.idle():
            if self._try_send(encoded):
                return
        self._held.add(len(encoded))
        self._short_frames.append(encoded)
        self._short_bytes += len(encoded)
        self._wake.set()

    def is_full(self) -> bool:
        """Return True if a call or response has to wait before its start."""
        return self._short_bytes >= _MAX_SHORT_BYTES

    async def wait_until_not_full(
        self, ended: Callable[[], bool] = _never_ended
    ) -> None:
        """Wait for space for short frames, or until ``ended`` returns True."""
        while self.is_full() and not ended():
            await self._wait_for_space()

    async def send_remaining_chunks(
        self,
        body: Body,
        stream_id: int,
        ended: Callable[[], bool] = _never_ended,
    ) -> None:
        """Queue all chunks of a body but the first.

        Waits while the queue of chunks is full. Stops once ``ended`` returns
        True, which is checked again after ``wake_senders``.

        Raises:
            FrameError: a frame exceeds ``MAX_FRAME_BYTES``.
        """
        for frame in chunk_frames(body, stream_id):
            encoded = encode_frame(frame)
            while len(self._chunks) >= _MAX_QUEUED_CHUNKS and not ended():
                await self._wait_for_space()
            if ended():
                return
            if self._on_frame is not None:
                self._on_frame(frame, len(encoded))
            self._held.add(len(encoded))
            self._chunks.append(encoded)
            self._wake.set()

    def wake_senders(self) -> None:
        """Wake senders that wait for space, so that they check ``ended``."""
        self._space_freed.set()

    def idle(self) -> bool:
        """Return True if no frame waits to be written."""
        return not self._short_frames and not self._chunks

    async def run(self, stream: ByteSendStream) -> None:
        """Write queued frames until cancelled.

        Raises:
            anyio.BrokenResourceError: the connection is broken.
            anyio.ClosedResourceError: the connection was closed.
        """
        if isinstance(stream, DirectStream):
            self._try_send = stream.try_send
        while True:
            if self.idle():
                self._wake = anyio.Event()
                await self._wake.wait()
            batch = self._next_batch()
            await stream.send(batch)
            self._held.add(-len(batch))

    async def _wait_for_space(self) -> None:
        # Several bodies may wait for the same event, so that it is replaced
        # only after it was set.
        if self._space_freed.is_set():
            self._space_freed = anyio.Event()
        await self._space_freed.wait()

    def _next_batch(self) -> bytes:
        # A batch has at most one chunk, so that a short frame never waits for
        # more than one.
        batch = list(self._short_frames)
        if self._chunks:
            batch.append(self._chunks.popleft())
            self._space_freed.set()
        elif self.is_full():
            self._space_freed.set()
        self._short_frames.clear()
        self._short_bytes = 0
        return b''.join(batch)
