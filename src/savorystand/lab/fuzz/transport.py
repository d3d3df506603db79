"""An ``asyncio`` transport over an in-memory byte stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import anyio

if TYPE_CHECKING:
    from anyio.abc import ByteStream
    from anyio.abc import TaskGroup

_STREAM_CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class _StubSocket:
    """Socket that accepts options and ignores them."""

    def setsockopt(self, level: int, option: int, setting: int) -> None:
        """Ignore an option."""


@final
class MemoryTransport(asyncio.Transport):
    """Transfers the bytes of a protocol until either side closes."""

    def __init__(
        self,
        *,
        stream: ByteStream,
        protocol: asyncio.Protocol,
        tasks: TaskGroup,
    ) -> None:
        """Connect ``protocol`` to ``stream``; transfers run in ``tasks``."""
        super().__init__()
        self._stream = stream
        self._protocol = protocol
        self._tasks = tasks
        self._closing = False
        protocol.connection_made(self)
        tasks.start_soon(self._receive)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a stub socket for any name."""
        return _StubSocket()

    def is_closing(self) -> bool:
        """Return True once this side has closed."""
        return self._closing

    def write(self, payload: Any) -> None:
        """Start to send bytes."""
        self._tasks.start_soon(self._send, bytes(payload))

    def abort(self) -> None:
        """Close the stream without waiting for pending writes."""
        if not self._closing:
            self._closing = True
            self._tasks.start_soon(self._stream.aclose)

    async def _send(self, payload: bytes) -> None:
        try:
            await self._stream.send(payload)
        except _STREAM_CLOSED_ERRORS:
            # ``_receive`` reports the loss to the protocol.
            return

    async def _receive(self) -> None:
        try:
            while True:
                self._protocol.data_received(await self._stream.receive())
        except _STREAM_CLOSED_ERRORS:
            self._closing = True
            self._protocol.connection_lost(None)
