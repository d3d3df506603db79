"""Pooled HTTP connections to one storage service."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import anyio
import httpcore

from savorystand.clock import MS_PER_SECOND
from savorystand.reporting.traffic import Traffic
from savorystand.store.backend import TcpBackend
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from savorystand.settings.node import Address

# Timeout of one operation, including connection setup.
OPERATION_TIMEOUT_MS = 1500
_KEEPALIVE_INTERVAL_SECONDS = 1
# Bounds only idle connections; callers bound concurrent operations.
_MAX_IDLE_CONNECTIONS = 8
# Closes a connection whose data stays unacknowledged (RFC 5482).
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, OPERATION_TIMEOUT_MS),
    # Closes a connection whose peer goes silent before the response arrives.
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
# Bounds the memory that a faulty service can make a node use.
_MAX_BODY_BYTES = 16777216


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceRequest:
    """One HTTP request to a storage service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceResponse:
    """A complete HTTP response of a storage service.

    The names of ``headers`` are in lower case.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class _SendProgress:
    """Records whether any byte of a request may have been sent."""

    __slots__ = ('may_be_sent',)

    def __init__(self) -> None:
        self.may_be_sent = False

    async def trace(self, event: str, details: dict[str, Any]) -> None:
        # Set before the write is awaited: if that is cancelled, part of the
        # request may have been sent.
        if event == 'http11.send_request_headers.started':
            self.may_be_sent = True


class ServiceConnections:
    """Sends requests over a small pool of persistent connections."""

    __slots__ = (
        '_address',
        '_backend',
        '_idle',
        '_key',
        '_timeout_ms',
        '_traffic',
    )

    def __init__(
        self,
        *,
        address: Address,
        key: str,
        timeout_ms: float = OPERATION_TIMEOUT_MS,
        traffic: Traffic | None = None,
    ) -> None:
        """Connect to the service at ``address`` when requests need it.

        ``key`` is sent as a bearer token unless it is empty. ``traffic``
        counts the requests and the bodies of their responses.
        """
        self._traffic = traffic or Traffic()
        self._address = address
        self._key = key
        self._timeout_ms = timeout_ms
        self._backend = TcpBackend()
        self._idle: list[httpcore.AsyncHTTP11Connection] = []

    async def send(self, request: ServiceRequest) -> ServiceResponse:
        """Send a request and return its complete response.

        Raises:
            StoreUnavailableError: no byte of the request was sent.
            StoreUnknownError: the request may have been sent, but no complete
                and valid response arrived in time.
        """
        progress = _SendProgress()
        kind = self._traffic.count_store_call(request.method, request.path)
        try:
            with anyio.fail_after(self._timeout_ms / MS_PER_SECOND):
                response = await self._exchange(request, progress)
            self._traffic.count_store_bytes(kind, len(response.body))
            return response
        except TimeoutError:
            problem = f'no response within {self._timeout_ms} ms'
        except httpcore.TimeoutException:
            problem = 'connection timed out'
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as exc:
            problem = str(exc) or type(exc).__name__
        address = self._address.text()
        problem = f'{address}: {problem}'
        if progress.may_be_sent:
            raise StoreUnknownError(problem)
        raise StoreUnavailableError(problem)

    async def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _exchange(
        self,
        request: ServiceRequest,
        progress: _SendProgress,
    ) -> ServiceResponse:
        conn = await self._acquire()
        try:
            response = await self._send_on(conn, request, progress)
        except BaseException:
            # A late response on this connection must never be read as the
            # response to another request. Idle connections may have gone
            # silent too, and each of those would make another operation fail.
            await _discard(conn)
            with anyio.CancelScope(shield=True):
                await self.close()
            raise
        if conn.is_idle() and len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            await _discard(conn)
        return response

    async def _send_on(
        self,
        conn: httpcore.AsyncHTTP11Connection,
        request: ServiceRequest,
        progress: _SendProgress,
    ) -> ServiceResponse:
        response = await conn.handle_async_request(
            self._build_request(request, progress),
        )
        chunks = []
        size = 0
        async for chunk in response.aiter_stream():
            chunks.append(chunk)
            size += len(chunk)
            if size > _MAX_BODY_BYTES:
                raise httpcore.RemoteProtocolError(
                    f'response body exceeds {_MAX_BODY_BYTES} bytes'
                )
        await response.aclose()
        return ServiceResponse(
            status=response.status,
            body=b''.join(chunks),
            headers=tuple(
                (name.decode('latin-1').lower(), text.decode('latin-1'))
                for name, text in response.headers
            ),
        )

    async def _acquire(self) -> httpcore.AsyncHTTP11Connection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.has_expired():
                return conn
            await _discard(conn)
        stream = await self._backend.connect_tcp(
            self._address.host,
            self._address.port,
            socket_options=_SOCKET_OPTIONS,
        )
        host = self._address.host.encode()
        origin = httpcore.Origin(b'http', host, self._address.port)
        return httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)

    def _build_request(
        self,
        request: ServiceRequest,
        progress: _SendProgress,
    ) -> httpcore.Request:
        added_headers = [
            ('host', self._address.text()),
            ('content-length', str(len(request.body))),
        ]
        if self._key:
            added_headers.append(('authorization', f'Bearer {self._key}'))
        return httpcore.Request(
            method=request.method,
            url=httpcore.URL(
                scheme=b'http',
                host=self._address.host.encode(),
                port=self._address.port,
                target=request.path.encode(),
            ),
            headers=[
                (name.encode(), text.encode())
                for name, text in (*added_headers, *request.headers)
            ],
            content=request.body,
            extensions={'trace': progress.trace},
        )


async def _discard(conn: httpcore.AsyncHTTP11Connection) -> None:
    with anyio.CancelScope(shield=True):
        await conn.aclose()
