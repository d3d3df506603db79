"""Bodies of calls that arrive from a peer, and what calls count as memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.memory.account import HEADER_OBJECT_BYTES
from savorystand.memory.buffer import HeldBuffer
from savorystand.transport.assembly import BodyAssembly
from savorystand.transport.assembly import complete_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.call import Body
    from savorystand.memory.account import MemoryAccount
    from savorystand.wire.codec import Message

# Task, timers and other objects of a call in progress.
_CALL_BYTES = 16384


class IncomingCalls:
    """Incomplete bodies of one connection, and the counts of its calls."""

    __slots__ = ('_account', '_assemblies', '_counted_bytes')

    def __init__(self, *, account: MemoryAccount) -> None:
        """Start without calls; all of them count towards ``account``."""
        self._account = account
        self._assemblies: dict[int, BodyAssembly] = {}
        # What the calls in progress count, besides bodies that came in parts.
        self._counted_bytes: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of incomplete bodies."""
        return len(self._assemblies)

    def begin(self, start: Message, on_drop: Callable[[], None]) -> Body | None:
        """Begin to receive a body, and return it if it is complete.

        ``on_drop`` is called if an incomplete one has to give way.

        Raises:
            CallError: the announced size is out of bounds.
            MemoryShortError: there is no room for the body.
        """
        body = complete_body(start)
        if body is not None:
            return body

        def drop() -> None:  # noqa: WPS430 - belongs to this body
            self.forget(start.stream)
            on_drop()

        self._assemblies[start.stream] = BodyAssembly(
            start=start, account=self._account, on_drop=drop
        )
        return None

    def __contains__(self, stream_id: int) -> bool:
        """Return True if a body on that stream is incomplete."""
        return stream_id in self._assemblies

    def start_of(self, stream_id: int) -> Message | None:
        """Return the opening frame of an incomplete body, if there is one."""
        assembly = self._assemblies.get(stream_id)
        return None if assembly is None else assembly.start

    def add(self, chunk: Message) -> Body | None:
        """Append a chunk of an incomplete body; return the body if complete.

        Raises:
            CallError: the body does not have its announced size.
        """
        assembly = self._assemblies[chunk.stream]
        if not assembly.add(chunk):
            return None
        body = assembly.joined_body()
        del self._assemblies[chunk.stream]
        return body

    def forget(self, stream_id: int) -> None:
        """Let go of an incomplete body, if there is one."""
        assembly = self._assemblies.pop(stream_id, None)
        if assembly is not None:
            assembly.close()

    def count(self, start: Message, body: Body) -> None:
        """Count a call in progress with its opening frame and its body.

        Raises:
            MemoryShortError: there is no room for it.
        """
        size = _CALL_BYTES + _head_bytes(start)
        if not isinstance(body, HeldBuffer):
            size += len(body)
        self._account.take(size, total=size)
        self._counted_bytes[start.stream] = size

    def end(self, stream_id: int) -> None:
        """Count a call no longer."""
        self._account.give_back(self._counted_bytes.pop(stream_id, 0))

    def close(self) -> None:
        """Let go of everything: the connection has ended."""
        for stream_id in tuple(self._assemblies):
            self.forget(stream_id)
        for counted_id in tuple(self._counted_bytes):
            self.end(counted_id)


def _head_bytes(start: Message) -> int:
    text_bytes = len(start.path) + len(start.context.request_id)
    text_bytes += sum([len(text) for text in start.headers])
    return text_bytes + len(start.headers) // 2 * HEADER_OBJECT_BYTES
