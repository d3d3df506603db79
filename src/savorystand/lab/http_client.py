"""HTTP client that reuses idle connections to one address."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import anyio
import httpcore

from savorystand.clock import MS_PER_SECOND
from savorystand.store.backend import TcpBackend

if TYPE_CHECKING:
    from savorystand.call import Headers
    from savorystand.settings.node import Address

CLIENT_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)
# Those and the end of the time for a response.
REQUEST_ERRORS = (*CLIENT_ERRORS, TimeoutError)
_SOCKET_OPTIONS = ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),)


class ConnectFailedError(OSError):
    """The connection attempt failed, so no request was sent."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ClientResponse:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """Sends requests to one address and keeps idle connections for reuse."""

    __slots__ = ('_address', '_backend', '_idle')

    def __init__(self, *, address: Address) -> None:
        """Create a client of ``address`` without connections."""
        self._address = address
        self._backend = TcpBackend()
        self._idle: list[httpcore.AsyncHTTP11Connection] = []

    async def send(
        self,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b'',
        timeout_ms: float = 10000,
    ) -> ClientResponse:
        """Send one request and return the complete response.

        Raises:
            ConnectFailedError: no connection was made; nothing was sent.
            TimeoutError: no complete response arrived within ``timeout_ms``.
            OSError: or another of ``CLIENT_ERRORS``, the connection failed.
        """
        with anyio.fail_after(timeout_ms / MS_PER_SECOND):
            conn = await self._acquire()
            return await self._exchange(
                conn,
                self._request(method, path, headers, body),
            )

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _exchange(
        self,
        conn: httpcore.AsyncHTTP11Connection,
        request: httpcore.Request,
    ) -> ClientResponse:
        try:
            response = await conn.handle_async_request(request)
            body = await response.aread()
            await response.aclose()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await conn.aclose()
            raise
        if conn.is_idle():
            self._idle.append(conn)
        pairs = (
            (name.decode('latin-1').lower(), text.decode('latin-1'))
            for name, text in response.headers
        )
        return ClientResponse(
            status=response.status, headers=dict(pairs), body=body
        )

    async def _acquire(self) -> httpcore.AsyncHTTP11Connection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.has_expired():
                return conn
            await conn.aclose()
        host = self._address.host
        port = self._address.port
        try:
            stream = await self._backend.connect_tcp(
                host, port, socket_options=_SOCKET_OPTIONS
            )
        except (OSError, httpcore.NetworkError) as exc:
            raise ConnectFailedError(f'{host}:{port}: {exc}') from exc
        origin = httpcore.Origin(b'http', host.encode(), port)
        return httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)

    def _request(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> httpcore.Request:
        default_headers = (
            ('host', self._address.text()),
            ('content-length', str(len(body))),
        )
        return httpcore.Request(
            method=method,
            url=httpcore.URL(
                scheme=b'http',
                host=self._address.host.encode(),
                port=self._address.port,
                target=path.encode('latin-1'),
            ),
            headers=[
                (name.encode('latin-1'), text.encode('latin-1'))
                for name, text in (*default_headers, *headers)
            ],
            content=body,
        )


async def send_json(
    address: Address, method: str, path: str, document: object = None
) -> Any:
    """Send a request with a JSON document over a new connection.

    Return the JSON document of the response, or None if it has no body.

    Raises:
        OSError: or another of ``CLIENT_ERRORS``, the request failed.
        TimeoutError: no response arrived in time.
    """
    client = HttpClient(address=address)
    body = b'' if document is None else json.dumps(document).encode()
    try:
        response = await client.send(method, path, body=body)
    finally:
        await client.close()
    return json.loads(response.body) if response.body else None
