"""In-memory byte streams that break or go silent after some bytes."""

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

    The connection breaks once this end has sent ``cut_after_bytes`` bytes. With
    ``silent``, further bytes are dropped instead without an error.
    """

    def __init__(
        self,
        *,
        send: MemoryObjectSendStream[bytes],
        receive: MemoryObjectReceiveStream[bytes],
        cut_after_bytes: int | None,
        silent: bool,
    ) -> None:
        """Combine the sending and the receiving memory stream."""
        self._send = send
        self._receive = receive
        self._remaining_bytes = cut_after_bytes
        self._silent = silent

    async def send(self, payload: bytes) -> None:
        """Send the bytes up to the cut.

        Raises:
            anyio.BrokenResourceError: the connection broke at the cut.
        """
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
        """Return the next received bytes.

        Raises:
            anyio.EndOfStream: the other end has closed.
            anyio.BrokenResourceError: this end was closed.
        """
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
        """Close the sending and the receiving side."""
        await self._send.aclose()
        await self._receive.aclose()


def faulty_pair(
    *,
    cut_request_after: int | None = None,
    cut_response_after: int | None = None,
    silent: bool = False,
) -> tuple[FaultyStream, FaultyStream]:
    """Return the client and the server end of a connection.

    The limits are the numbers of bytes after which a direction fails.
    """
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
