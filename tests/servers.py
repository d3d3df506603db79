"""Stream servers of tests that leave nothing behind."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable


@asynccontextmanager
async def stream_server(
    serve: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> AsyncIterator[int]:
    """Serve connections on the loopback address with ``serve``; yield the port.

    Its connections end with it. One that outlives its event loop raises an
    error whenever it is collected, also within the compiler, which fails then.
    """
    handlers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def serve_tracked(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        handlers[task] = writer
        await serve(reader, writer)

    server = await asyncio.start_server(serve_tracked, '127.0.0.1', 0)
    async with server:
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            for task, writer in handlers.items():
                writer.transport.abort()
                task.cancel()
            await asyncio.gather(*handlers, return_exceptions=True)
