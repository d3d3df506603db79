"""In-memory byte streams with latency, blocking, cuts and silent loss."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import final

import anyio
from anyio.abc import ByteStream
from anyio.lowlevel import checkpoint

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.fuzz.virtual_time import loop_ms

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

_ROUNDING_TOLERANCE_MS = 1e-6


def never_blocked() -> bool:
    """Return False: the connection always carries traffic."""
    return False


@final
class Pipe:
    """One direction of a connection; bytes keep their order.

    While ``is_blocked`` returns True, nothing arrives and nothing is lost.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        max_latency_ms: float,
        is_blocked: Callable[[], bool],
    ) -> None:
        """Deliver each chunk after a random time up to ``max_latency_ms``."""
        self._rng = rng
        self._max_latency_ms = max_latency_ms
        self._is_blocked = is_blocked
        self._chunks: deque[tuple[float, bytes]] = deque()
        self._last_due_ms = loop_ms()
        self._changed = anyio.Event()
        self._ended = False
        self._closed = False
        self.silenced = False

    def write(self, payload: bytes) -> None:
        """Send bytes to the receiving side.

        Raises:
            anyio.BrokenResourceError: the connection was cut or closed.
        """
        if self._ended or (self._closed and not self._is_blocked()):
            raise anyio.BrokenResourceError
        if self.silenced:
            return
        due_ms = loop_ms() + self._rng.uniform(0, self._max_latency_ms)
        self._last_due_ms = max(self._last_due_ms, due_ms)
        self._chunks.append((self._last_due_ms, payload))
        self.wake_receiver()

    def end(self) -> None:
        """Close the sending side; chunks in transit still arrive."""
        self._ended = True
        self.wake_receiver()

    def close(self) -> None:
        """Close the receiving side."""
        self._closed = True
        self.wake_receiver()

    def cut(self) -> None:
        """Break the connection.

        Of the chunks in transit, only a random part of the first still arrives.
        """
        if self._chunks:
            due_ms, payload = self._chunks[0]
            delivered = payload[: self._rng.randrange(len(payload) + 1)]
            self._chunks.clear()
            if delivered:
                self._chunks.append((due_ms, delivered))
        self.end()

    def wake_receiver(self) -> None:
        """Make the receiver check again for chunks that can be delivered."""
        self._changed.set()

    async def read(self) -> bytes:
        """Return the next chunk once it has arrived.

        Raises:
            anyio.EndOfStream: the sender has closed or was cut.
            anyio.ClosedResourceError: the receiver has closed.
        """
        await checkpoint()
        while not self._closed:
            remaining_ms = self._remaining_ms()
            if remaining_ms is not None and remaining_ms <= 0:
                return self._chunks.popleft()[1]
            if self._ended and not self._chunks and not self._is_blocked():
                raise anyio.EndOfStream
            self._changed = anyio.Event()
            if remaining_ms is None:
                await self._changed.wait()
            else:
                with anyio.move_on_after(remaining_ms / MS_PER_SECOND):
                    await self._changed.wait()
        raise anyio.ClosedResourceError

    def _remaining_ms(self) -> float | None:
        if not self._chunks or self._is_blocked():
            return None
        remaining_ms = self._chunks[0][0] - loop_ms()
        # Without a tolerance, rounding of the loop's time could hold a chunk
        # back for ever.
        return remaining_ms if remaining_ms > _ROUNDING_TOLERANCE_MS else 0


@final
class PipeStream(ByteStream):
    """One end of a connection."""

    def __init__(self, *, outgoing: Pipe, incoming: Pipe) -> None:
        """Combine the two directions into a stream."""
        self._outgoing = outgoing
        self._incoming = incoming

    async def send(self, payload: bytes) -> None:
        """Send bytes to the other end."""
        await checkpoint()
        self._outgoing.write(payload)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive the next bytes."""
        return await self._incoming.read()

    async def send_eof(self) -> None:
        """Close the sending side."""
        self._outgoing.end()

    async def aclose(self) -> None:
        """Close both sides."""
        self._outgoing.end()
        self._incoming.close()
        await checkpoint()


@final
class Connection:
    """Both directions and both ends of a connection, with its faults."""

    def __init__(
        self,
        *,
        rng: random.Random,
        max_latency_ms: float,
        is_blocked: Callable[[], bool] = never_blocked,
    ) -> None:
        """Open a connection; ``is_blocked`` applies to both directions."""
        self._pipes = tuple(
            Pipe(rng=rng, max_latency_ms=max_latency_ms, is_blocked=is_blocked)
            for _ in range(2)
        )
        to_server, to_client = self._pipes
        self.client = PipeStream(outgoing=to_server, incoming=to_client)
        self.server = PipeStream(outgoing=to_client, incoming=to_server)

    def cut(self) -> None:
        """Break both directions."""
        for pipe in self._pipes:
            pipe.cut()

    def end(self) -> None:
        """Close both directions, as the end of a process does."""
        for pipe in self._pipes:
            pipe.end()

    def silence(self) -> None:
        """Drop all further traffic without closing the connection."""
        for pipe in self._pipes:
            pipe.silenced = True

    def wake_receivers(self) -> None:
        """Make both receivers check again for deliverable chunks."""
        for pipe in self._pipes:
            pipe.wake_receiver()
