"""In-memory byte streams that are delayed, held, cut or silenced."""

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

_ROUNDING_MS = 1e-6


def never_held() -> bool:
    """Tell that a connection always carries traffic."""
    return False


@final
class Pipe:
    """One direction of a connection; bytes keep their order.

    While ``held`` returns True nothing arrives and nothing is lost.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        latency_ms: float,
        held: Callable[[], bool],
    ) -> None:
        """Deliver each piece after up to ``latency_ms``."""
        self._rng = rng
        self._latency_ms = latency_ms
        self._held = held
        self._pieces: deque[tuple[float, bytes]] = deque()
        self._due_ms = loop_ms()
        self._wake = anyio.Event()
        self._ended = False
        self._closed = False
        self.silent = False

    def write(self, payload: bytes) -> None:
        """Put bytes on their way.

        Raises:
            anyio.BrokenResourceError: the connection was cut or closed.
        """
        if self._ended or (self._closed and not self._held()):
            raise anyio.BrokenResourceError
        if self.silent:
            return
        due_ms = loop_ms() + self._rng.uniform(0, self._latency_ms)
        self._due_ms = max(self._due_ms, due_ms)
        self._pieces.append((self._due_ms, payload))
        self.poke()

    def end(self) -> None:
        """Close the sending side; what is on its way still arrives."""
        self._ended = True
        self.poke()

    def close(self) -> None:
        """Close the receiving side."""
        self._closed = True
        self.poke()

    def cut(self) -> None:
        """Break the connection; a part of what is on its way arrives."""
        if self._pieces:
            due_ms, payload = self._pieces[0]
            part = payload[: self._rng.randrange(len(payload) + 1)]
            self._pieces.clear()
            if part:
                self._pieces.append((due_ms, part))
        self.end()

    def poke(self) -> None:
        """Let the receiver look again, as something has changed."""
        self._wake.set()

    async def read(self) -> bytes:
        """Return the next piece.

        Raises:
            anyio.EndOfStream: the sender has closed or was cut.
            anyio.ClosedResourceError: the receiver has closed.
        """
        await checkpoint()
        while not self._closed:
            remaining_ms = self._remaining_ms()
            if remaining_ms is not None and remaining_ms <= 0:
                return self._pieces.popleft()[1]
            if self._ended and not self._pieces and not self._held():
                raise anyio.EndOfStream
            self._wake = anyio.Event()
            if remaining_ms is None:
                await self._wake.wait()
            else:
                with anyio.move_on_after(remaining_ms / MS_PER_SECOND):
                    await self._wake.wait()
        raise anyio.ClosedResourceError

    def _remaining_ms(self) -> float | None:
        if not self._pieces or self._held():
            return None
        remaining_ms = self._pieces[0][0] - loop_ms()
        # Rounding of the loop's time must not keep a piece back for ever.
        return remaining_ms if remaining_ms > _ROUNDING_MS else 0


@final
class PipeStream(ByteStream):
    """One end of a connection."""

    def __init__(self, *, outgoing: Pipe, incoming: Pipe) -> None:
        """Join both directions."""
        self._outgoing = outgoing
        self._incoming = incoming

    async def send(self, payload: bytes) -> None:
        """Send bytes."""
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
    """Both directions and both ends of a connection, for the faults."""

    def __init__(
        self,
        *,
        rng: random.Random,
        latency_ms: float,
        held: Callable[[], bool] = never_held,
    ) -> None:
        """Open a connection."""
        self._pipes = tuple(
            Pipe(rng=rng, latency_ms=latency_ms, held=held) for _ in range(2)
        )
        there, back = self._pipes
        self.client = PipeStream(outgoing=there, incoming=back)
        self.server = PipeStream(outgoing=back, incoming=there)

    def cut(self) -> None:
        """Break both directions."""
        for pipe in self._pipes:
            pipe.cut()

    def end(self) -> None:
        """Close both ends as the death of a process does."""
        for pipe in self._pipes:
            pipe.end()

    def silence(self) -> None:
        """Swallow all further traffic, for good."""
        for pipe in self._pipes:
            pipe.silent = True

    def poke(self) -> None:
        """Deliver what is no longer held."""
        for pipe in self._pipes:
            pipe.poke()
