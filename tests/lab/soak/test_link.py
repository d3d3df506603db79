"""Guards against a stand-in link that makes a cut stream look complete.

A body without a length that lost its rest in the link ended in order, as TCP
never lets it, and the soak took it for bytes of another response (seed 12052).
"""

from __future__ import annotations

import asyncio

import pytest

from savorystand.lab.soak.link import Link
from savorystand.lab.soak.link import LinkState
from savorystand.settings.node import Address
from tests.servers import stream_server

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('state', [LinkState.GOOD, LinkState.SILENT])
async def test_stream_with_a_gap_ends_with_a_reset(state: LinkState) -> None:
    """Only a stream that lost nothing ends in order."""
    resume = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'first')
        await resume.wait()
        writer.write(b'rest')
        writer.close()

    async with stream_server(serve) as far_port:
        link = Link(destination=Address(host='127.0.0.1', port=far_port))
        async with stream_server(link.serve) as port:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            assert await reader.readexactly(5) == b'first'
            link.state = state
            resume.set()
            if state is LinkState.GOOD:
                assert await reader.read() == b'rest'
            else:
                with pytest.raises(ConnectionResetError):
                    await reader.read()
            writer.close()
