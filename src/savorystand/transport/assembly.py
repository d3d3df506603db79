"""Puts the chunks of a body together and checks its length."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import MAX_BODY_BYTES
from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.wire.codec import Message

# Bound on the unfinished bodies of one connection; beyond it new calls are
# refused, and those in progress go on.
MAX_UNFINISHED_BYTES = 268435456


class BodyAssembly:
    """A body of which some chunks have arrived.

    ``start`` is the ``CallStart`` or ``AnswerStart`` that announced it.
    """

    __slots__ = ('_parts', 'received_bytes', 'start')

    def __init__(self, *, start: Message) -> None:
        """Begin with the chunk in the opening frame.

        Raises:
            FrameError: the announced size is out of bounds.
        """
        if not 0 <= start.body_size <= MAX_BODY_BYTES:
            raise FrameError(f'body of {start.body_size} bytes is refused')
        self.start = start
        self._parts = [start.body]
        # Bytes that have arrived so far.
        self.received_bytes = len(start.body)

    def add(self, chunk: Message) -> bool:
        """Add a chunk; return True if it is the last.

        Raises:
            FrameError: the body is longer than announced, or the chunk is
                shorter than senders cut them, of which a body could take
                any number.
        """
        if len(chunk.body) < CHUNK_BYTES and not chunk.last:
            raise FrameError(f'chunk of {len(chunk.body)} bytes')
        self._parts.append(chunk.body)
        self.received_bytes += len(chunk.body)
        if self.received_bytes > self.start.body_size:
            raise FrameError('body is longer than announced')
        return bool(chunk.last)

    def joined_body(self) -> bytes:
        """Return the body.

        Raises:
            FrameError: the end came before the announced length.
        """
        if self.received_bytes != self.start.body_size:
            raise FrameError('body is shorter than announced')
        return b''.join(self._parts)


def complete_body(start: Message) -> bytes | None:
    """Return the body of an opening frame that carries all of it, else None.

    Raises:
        FrameError: it is the last frame and not as long as announced.
    """
    if not start.last:
        return None
    if len(start.body) != start.body_size:
        raise FrameError('body differs from the announced length')
    body: bytes = start.body
    return body


def has_room(unfinished: Iterable[BodyAssembly]) -> bool:
    """Return True if a connection may begin another body."""
    received_bytes = sum(assembly.received_bytes for assembly in unfinished)
    return received_bytes <= MAX_UNFINISHED_BYTES
