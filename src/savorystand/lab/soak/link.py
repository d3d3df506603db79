"""Loopback proxy that delays, silences, cuts or resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from savorystand.settings.node import Address

_CHUNK_BYTES = 65536
_DELAY_MS = 150
# Value of SO_LINGER: on, for no time.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@final
class LinkState(Enum):
    """What a link does with the bytes that it gets."""

    GOOD = 'good'
    DELAYED = 'delayed'
    # Bytes vanish, in both directions or only those of responses.
    SILENT = 'silent'
    ONE_WAY = 'one-way'


class Link:
    """Passes connections on to one address."""

    __slots__ = ('_destination', '_writers', 'state')

    def __init__(self, *, destination: Address) -> None:
        """Create a good link to ``destination``."""
        self._destination = destination
        self._writers: set[asyncio.StreamWriter] = set()
        self.state = LinkState.GOOD

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on until either side ends it."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._destination.host, self._destination.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        pumps = (
            asyncio.ensure_future(self._pump(reader, far_writer, back=False)),
            asyncio.ensure_future(self._pump(far_reader, writer, back=True)),
        )
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        for one in (writer, far_writer):
            self._writers.discard(one)
            one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        # A stream with a gap carries nothing further.
        is_cut = False
        with contextlib.suppress(OSError):
            while received := await reader.read(_CHUNK_BYTES):
                if self.state is LinkState.DELAYED:
                    await asyncio.sleep(_DELAY_MS / MS_PER_SECOND)
                if self._loses(back=back) and not is_cut:
                    is_cut = True
                    _end_with_reset(writer)
                if not is_cut:
                    writer.write(received)
                    await writer.drain()

    def _loses(self, *, back: bool) -> bool:
        if self.state is LinkState.SILENT:
            return True
        return back and self.state is LinkState.ONE_WAY


def _end_with_reset(writer: asyncio.StreamWriter) -> None:
    """Make the end of a connection a reset.

    TCP never delivers an orderly end after bytes that were lost.
    """
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
