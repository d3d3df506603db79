"""Reassembles a message body from chunks and checks its length."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.memory.account import MemoryAccount
from savorystand.memory.buffer import HeldBuffer
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.wire.errors import CallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.call import Body
    from savorystand.wire.codec import Message

# Longest body that a peer may announce. Whether there is room for it, only the
# account of the node tells.
_MAX_ANNOUNCED_BYTES = 2147483647


def _ignore() -> None:
    """Do nothing: the body does not give way any more."""


class BodyAssembly:
    """A message body of which only some chunks have arrived.

    ``start`` is the ``CallStart`` or ``AnswerStart`` that announced the body.
    It is a holder of the account from its creation until ``close``.
    """

    __slots__ = (
        '_account',
        '_body',
        '_on_drop',
        'progress_ms',
        'start',
    )

    def __init__(
        self,
        *,
        start: Message,
        account: MemoryAccount | None = None,
        on_drop: Callable[[], None] = _ignore,
    ) -> None:
        """Store the first chunk, which the opening frame carries.

        Room for the whole body is taken at once. ``on_drop`` is called if it
        has to give way before it is complete.

        Raises:
            CallError: the announced size is out of bounds.
            MemoryShortError: there is no room for the body.
        """
        if not 0 <= start.body_size <= _MAX_ANNOUNCED_BYTES:
            raise CallError(
                f'body size {start.body_size} is not in 0 to '
                f'{_MAX_ANNOUNCED_BYTES}'
            )
        self.start = start
        self._account = account or MemoryAccount(clock=Clock())
        self._on_drop = on_drop
        self._body = HeldBuffer(account=self._account, expected=start.body_size)
        self._body.add(start.body)
        self.progress_ms = self._account.now()
        self._account.add_holder(self)

    @property
    def held_bytes(self) -> int:
        """Return the announced size of the body."""
        size: int = self.start.body_size
        return size

    def drop(self) -> None:
        """Give way to others."""
        on_drop = self._on_drop
        self.close()
        on_drop()

    def close(self) -> None:
        """Let go of the body: it has been passed on, or is not wanted."""
        self._account.remove_holder(self)
        # The owner refers to this object, so that both would stay in memory
        # until a cyclic collection.
        self._on_drop = _ignore
        self._body = HeldBuffer(account=self._account)

    def add(self, chunk: Message) -> bool:
        """Append a chunk and return True if it is the last one.

        Raises:
            CallError: the body is longer than announced, or a chunk before
                the last one is shorter than ``CHUNK_BYTES``. Short chunks
                would let one body consist of any number of chunks.
        """
        if len(chunk.body) < CHUNK_BYTES and not chunk.last:
            raise CallError(
                f'chunk of {len(chunk.body)} bytes before the last one'
            )
        if len(self._body) + len(chunk.body) > self.start.body_size:
            raise CallError('body exceeds its announced size')
        self._body.add(chunk.body)
        self.progress_ms = self._account.now()
        return bool(chunk.last)

    def joined_body(self) -> Body:
        """Return the complete body.

        Raises:
            CallError: fewer bytes than announced have arrived.
        """
        if len(self._body) != self.start.body_size:
            raise CallError('body ends before its announced size')
        body = self._body
        self.close()
        return body


def complete_body(start: Message) -> bytes | None:
    """Return the body if the opening frame carries all of it, else None.

    Raises:
        CallError: the frame is the only one of the body, whose length
            differs from the announced size.
    """
    if not start.last:
        return None
    if len(start.body) != start.body_size:
        raise CallError('body length differs from its announced size')
    body: bytes = start.body
    return body
