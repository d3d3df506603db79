"""HTTP listener of the platform stand-in."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from typing import Any

import anyio
from uvicorn import Config
from uvicorn import Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from savorystand.lab.platform.application import CLOSE_EXTENSION

if TYPE_CHECKING:
    from collections.abc import Generator

    from anyio.abc import TaskStatus

    from savorystand.lab.platform.application import PlatformApplication

_START_POLL_INTERVAL_SECONDS = 0.005


class _Protocol(HttpToolsProtocol):
    def on_message_begin(self) -> None:
        super().on_message_begin()
        extensions: Any = {CLOSE_EXTENSION: self._close}
        self.scope['extensions'] = extensions

    async def _close(self) -> None:
        self.transport.abort()
        # uvicorn learns of the abort in the next iteration of the event
        # loop; an application that returns earlier gets a status 500 response.
        await anyio.sleep(_START_POLL_INTERVAL_SECONDS)


class _Server(Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        # The process handles signals itself.
        yield


class PlatformListener:
    """Serves the platform stand-in on one address."""

    __slots__ = ('_server', '_socket')

    def __init__(
        self,
        *,
        app: PlatformApplication,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        """Bind the address; port 0 selects a free port.

        Raises:
            OSError: the address cannot be bound.
        """
        self._socket = socket.create_server((host, port), backlog=1024)
        self._server = _Server(
            Config(
                app,
                http=_Protocol,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                # A listener that stops cancels the requests that wait for a
                # change, which the library logs as errors.
                log_level='critical',
            ),
        )

    @property
    def port(self) -> int:
        """Return the bound port."""
        return int(self._socket.getsockname()[1])

    async def run(
        self,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._server.serve, [self._socket])
                while not self._server.started:
                    await anyio.sleep(_START_POLL_INTERVAL_SECONDS)
                task_status.started()
        finally:
            await self._stop()

    async def _stop(self) -> None:
        # A cancelled uvicorn server leaves its connections and socket open.
        self._server.force_exit = True
        with anyio.CancelScope(shield=True):
            await self._server.shutdown([self._socket])
