"""Puts the chunks of a body together and checks its length."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.transport.conversion import MAX_BODY_BYTES
from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from savorystand.wire.codec import Message


class BodyAssembly:
    """A body of which some chunks have arrived.

    ``start`` is the ``CallStart`` or ``AnswerStart`` that announced it.
    """

    __slots__ = ('_parts', '_received', 'start')

    def __init__(self, *, start: Message) -> None:
        """Begin with the chunk in the opening frame.

        Raises:
            FrameError: the announced size is out of bounds.
        """
        if not 0 <= start.body_size <= MAX_BODY_BYTES:
            raise FrameError(f'body of {start.body_size} bytes is refused')
        self.start = start
        self._parts = [start.body]
        self._received = len(start.body)

    def add(self, chunk: Message) -> bool:
        """Add a chunk; return True if it is the last.

        Raises:
            FrameError: the body is longer than announced.
        """
        self._parts.append(chunk.body)
        self._received += len(chunk.body)
        if self._received > self.start.body_size:
            raise FrameError('body is longer than announced')
        return bool(chunk.last)

    def whole(self) -> bytes:
        """Return the body.

        Raises:
            FrameError: the end came before the announced length.
        """
        if self._received != self.start.body_size:
            raise FrameError('body is shorter than announced')
        return b''.join(self._parts)
