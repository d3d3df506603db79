"""In-memory byte streams that can be cut or silenced."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import final

import anyio
from anyio.abc import ByteStream

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream


@final
class FaultyStream(ByteStream):
    """One end of a connection that fails after some bytes were sent.

    After ``cut_after_bytes`` bytes in its direction the connection breaks; with
    ``silent`` the bytes are swallowed instead and nobody is told.
    """

    def __init__(
        self,
        *,
        send: MemoryObjectSendStream[bytes],
        receive: MemoryObjectReceiveStream[bytes],
        cut_after_bytes: int | None,
        silent: bool,
    ) -> None:
        """Join two memory streams."""
        self._send = send
        self._receive = receive
        self._remaining_bytes = cut_after_bytes
        self._silent = silent

    async def send(self, payload: bytes) -> None:
        """Send what the fault lets through."""
        if self._remaining_bytes is None:
            await self._send.send(payload)
            return
        passed = payload[: self._remaining_bytes]
        self._remaining_bytes -= len(passed)
        if passed:
            await self._send.send(passed)
        if len(passed) < len(payload) and not self._silent:
            await self._send.aclose()
            raise anyio.BrokenResourceError

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive the next bytes."""
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            raise
        except anyio.ClosedResourceError as exc:
            raise anyio.BrokenResourceError from exc

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._send.aclose()

    async def aclose(self) -> None:
        """Close both sides."""
        await self._send.aclose()
        await self._receive.aclose()


def faulty_pair(
    *,
    cut_request_after: int | None = None,
    cut_response_after: int | None = None,
    silent: bool = False,
) -> tuple[FaultyStream, FaultyStream]:
    """Return the calling and the serving end of one connection."""
    to_server, at_server = anyio.create_memory_object_stream[bytes](math.inf)
    to_client, at_client = anyio.create_memory_object_stream[bytes](math.inf)
    return (
        FaultyStream(
            send=to_server,
            receive=at_client,
            cut_after_bytes=cut_request_after,
            silent=silent,
        ),
        FaultyStream(
            send=to_client,
            receive=at_server,
            cut_after_bytes=cut_response_after,
            silent=silent,
        ),
    )
