"""Reassembles a message body from chunks and checks its length."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import MAX_BODY_BYTES
from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.wire.codec import Message

# Bound on the received bytes of incomplete bodies on one connection. Above it,
# new calls are refused, while those in progress continue.
MAX_UNFINISHED_BYTES = 268435456


class BodyAssembly:
    """A message body of which only some chunks have arrived.

    ``start`` is the ``CallStart`` or ``AnswerStart`` that announced the body.
    """

    __slots__ = ('_parts', 'received_bytes', 'start')

    def __init__(self, *, start: Message) -> None:
        """Store the first chunk, which the opening frame carries.

        Raises:
            FrameError: the announced size is out of bounds.
        """
        if not 0 <= start.body_size <= MAX_BODY_BYTES:
            raise FrameError(
                f'body size {start.body_size} is not in 0 to {MAX_BODY_BYTES}'
            )
        self.start = start
        self._parts = [start.body]
        # Body bytes that have arrived so far.
        self.received_bytes = len(start.body)

    def add(self, chunk: Message) -> bool:
        """Append a chunk and return True if it is the last one.

        Raises:
            FrameError: the body is longer than announced, or a chunk before
                the last one is shorter than ``CHUNK_BYTES``. Short chunks
                would let one body consist of any number of chunks.
        """
        if len(chunk.body) < CHUNK_BYTES and not chunk.last:
            raise FrameError(
                f'chunk of {len(chunk.body)} bytes before the last one'
            )
        self._parts.append(chunk.body)
        self.received_bytes += len(chunk.body)
        if self.received_bytes > self.start.body_size:
            raise FrameError('body exceeds its announced size')
        return bool(chunk.last)

    def joined_body(self) -> bytes:
        """Return the complete body.

        Raises:
            FrameError: fewer bytes than announced have arrived.
        """
        if self.received_bytes != self.start.body_size:
            raise FrameError('body ends before its announced size')
        return b''.join(self._parts)


def complete_body(start: Message) -> bytes | None:
    """Return the body if the opening frame carries all of it, else None.

    Raises:
        FrameError: the frame is the only one of the body, whose length
            differs from the announced size.
    """
    if not start.last:
        return None
    if len(start.body) != start.body_size:
        raise FrameError('body length differs from its announced size')
    body: bytes = start.body
    return body


def accepts_new_body(unfinished: Iterable[BodyAssembly]) -> bool:
    """Return True if a connection may begin to receive another body.

    ``unfinished`` are the incomplete bodies of the connection.
    """
    received_bytes = sum(assembly.received_bytes for assembly in unfinished)
    return received_bytes <= MAX_UNFINISHED_BYTES
