"""HTTP listeners of a node."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import TypeAlias
from typing import cast

import anyio
from uvicorn import Config
from uvicorn import Server

from savorystand.gateway.protocol import BoundedProtocol
from savorystand.gateway.request_protocol import RequestProtocol
from savorystand.kernel.service import Service

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Generator

    from anyio.abc import TaskStatus

    from savorystand.settings.node import Address

SslContextFactory: TypeAlias = Callable[
    [Config, Callable[[], ssl.SSLContext]],
    ssl.SSLContext,
]

_START_POLL_SECONDS = 0.005
_TIMEOUT_CHECK_SECONDS = 1
_PAUSE_SECONDS = 2
_CLOSE_INTERVAL_SECONDS = 0.05
# Idle connections are closed after this time.
KEEP_ALIVE_SECONDS = 5


class ListenerApplication(Protocol):
    """Application of a listener.

    It is an ASGI application (version 3) unless the listener uses another
    protocol class.
    """

    def close_connections(self) -> None:
        """Close connections after each response from now on."""


class _Server(Server):
    def __init__(self, config: Config) -> None:
        super().__init__(config)
        self._stopped = anyio.Event()

    async def main_loop(self) -> None:
        # The main loop of the library updates the date header and enforces a
        # limit on the number of requests, neither of which is used here.
        await self._stopped.wait()

    def stop(self) -> None:
        self.should_exit = True
        self._stopped.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        # The process handles signals for all of its listeners.
        yield


class HttpListener(Service):
    """HTTP listener on one or more addresses, based on ``uvicorn``."""

    __slots__ = (
        '_addresses',
        '_app',
        '_finished',
        '_receive_bytes',
        '_server',
    )

    def __init__(
        self,
        *,
        app: ListenerApplication,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        extra_addresses: tuple[Address, ...] = (),
        keep_alive_seconds: int = KEEP_ALIVE_SECONDS,
        protocol: type[asyncio.Protocol] = BoundedProtocol,
        receive_bytes: int = 0,
    ) -> None:
        """Serve ``app`` on ``host`` and ``port``, with TLS if ``tls`` is set.

        It listens on ``extra_addresses`` too. ``protocol`` is the class of the
        connections, with the constructor of the protocols of ``uvicorn``.
        ``receive_bytes`` is the size of the system's buffer for what each
        connection receives, 0 for the default.
        """
        self._app = app
        self._receive_bytes = receive_bytes
        self._addresses = (
            (host, port),
            *((address.host, address.port) for address in extra_addresses),
        )
        self._finished = anyio.Event()
        self._server = _Server(
            Config(
                cast('Any', app),
                host=host,
                port=port,
                http=protocol,
                ws='none',
                lifespan='off',
                log_config=None,
                # The library logs a warning for each malformed request.
                log_level='error',
                access_log=False,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                timeout_keep_alive=keep_alive_seconds,
                ssl_context_factory=_ssl_context_factory(tls),
            ),
        )

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled.

        Raises:
            OSError: an address cannot be bound.
        """
        socks = [bind_tcp(host, port) for host, port in self._addresses]
        if self._receive_bytes:
            for sock in socks:
                # Accepted connections inherit the size.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
                )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve, socks)
            while not self._server.started:
                await anyio.sleep(_START_POLL_SECONDS)
            task_status.started()
            while True:
                started = anyio.current_time()
                await anyio.sleep(_TIMEOUT_CHECK_SECONDS)
                # After a pause of the process, what clients have sent meanwhile
                # is read first.
                if anyio.current_time() - started < _PAUSE_SECONDS:
                    self._abort_timed_out_connections()

    def stop_accepting(self) -> None:
        """Stop accepting; close connections after their next response.

        Idle connections are closed now. If a request arrives at the same time,
        its caller sends it again while this node still serves the keys that it
        issued.
        """
        self._app.close_connections()
        for server in self._server.servers:
            server.close()
        self._close_idle_connections()

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    async def drain(self) -> None:
        """Wait for the requests in progress, then close all connections.

        Connections that were being accepted when the listener closed appear
        later, so that idle ones are closed again and again.
        """
        self._server.stop()
        while not self._finished.is_set():
            self._close_idle_connections()
            with anyio.move_on_after(_CLOSE_INTERVAL_SECONDS):
                await self._finished.wait()

    def _close_idle_connections(self) -> None:
        # Those in use close after their response.
        for conn in list(self._server.server_state.connections):
            conn.shutdown()

    def _abort_timed_out_connections(self) -> None:
        for conn in tuple(self._server.server_state.connections):
            if isinstance(conn, (BoundedProtocol, RequestProtocol)):
                conn.abort_if_timed_out()

    async def _serve(self, socks: list[socket.socket]) -> None:
        try:
            await self._server.serve(socks)
        finally:
            self._finished.set()


def _ssl_context_factory(
    tls: ssl.SSLContext | None,
) -> SslContextFactory | None:
    if tls is None:
        return None
    return lambda config, default: tls


def bind_tcp(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket whose connections send without delay.

    Raises:
        OSError: the address is in use or does not belong to this host.
    """
    # asyncio disables Nagle's algorithm only on sockets that are created with
    # IPPROTO_TCP. With Nagle's algorithm, the body of each response waits 40 ms
    # for the client's delayed acknowledgement of the headers.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as exc:
        sock.close()
        raise OSError(exc.errno, exc.strerror, f'{host}:{port}') from exc
    return sock
