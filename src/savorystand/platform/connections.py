"""HTTP connections to one service of the platform."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import anyio
import httpcore

from savorystand.clock import MS_PER_SECOND
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError

if TYPE_CHECKING:
    from savorystand.settings.node import Address

# Time for one operation, connecting included.
OPERATION_TIMEOUT_MS = 1500
_KEEPALIVE_SECONDS = 1
# Idle connections kept; operations at a time are bounded by their callers.
_MAX_FREE = 8
# Data unacknowledged for this long ends a connection (RFC 5482).
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, OPERATION_TIMEOUT_MS),
    # Ends a connection that went silent while an answer is awaited.
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
# Bounds what a faulty service can make a node hold.
_MAX_BODY_BYTES = 16777216


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceRequest:
    """One HTTP request to the platform."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceResponse:
    """A complete answer of the platform."""

    status: int
    body: bytes


class _Progress:
    """Whether the first byte of a request may have left."""

    __slots__ = ('written',)

    def __init__(self) -> None:
        self.written = False

    async def trace(self, event: str, details: dict[str, Any]) -> None:
        # Set before the write is awaited: a cancellation inside it leaves
        # the request in an unknown state.
        if event == 'http11.send_request_headers.started':
            self.written = True


class ServiceConnections:
    """Sends requests on a small free list of connections."""

    __slots__ = ('_address', '_backend', '_free', '_key', '_timeout_ms')

    def __init__(
        self,
        *,
        address: Address,
        key: str,
        timeout_ms: float = OPERATION_TIMEOUT_MS,
    ) -> None:
        """Reach the service at ``address``.

        A ``key`` that is not empty is sent as bearer token.
        """
        self._address = address
        self._key = key
        self._timeout_ms = timeout_ms
        self._backend = httpcore.AnyIOBackend()
        self._free: list[httpcore.AsyncHTTP11Connection] = []

    async def send(self, request: ServiceRequest) -> ServiceResponse:
        """Return the complete answer to a request.

        Raises:
            StoreUnavailableError: the request has not left this process.
            StoreUnknownError: the answer was lost, cut or late.
        """
        progress = _Progress()
        try:
            with anyio.fail_after(self._timeout_ms / MS_PER_SECOND):
                return await self._exchange(request, progress)
        except TimeoutError:
            problem = f'no answer within {self._timeout_ms} ms'
        except httpcore.TimeoutException:
            problem = 'connection timed out'
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as exc:
            problem = str(exc) or type(exc).__name__
        place = self._address.text()
        problem = f'{place}: {problem}'
        if progress.written:
            raise StoreUnknownError(problem)
        raise StoreUnavailableError(problem)

    async def close(self) -> None:
        """Close idle connections."""
        while self._free:
            await self._free.pop().aclose()

    async def _exchange(
        self,
        request: ServiceRequest,
        progress: _Progress,
    ) -> ServiceResponse:
        conn = await self._take()
        try:
            response = await self._converse(conn, request, progress)
        except BaseException:
            # A late answer on this connection must never be taken for the
            # answer to another request. Idle connections may have gone
            # silent with it; one that has will cost another operation.
            await _discard(conn)
            with anyio.CancelScope(shield=True):
                await self.close()
            raise
        if conn.is_idle() and len(self._free) < _MAX_FREE:
            self._free.append(conn)
        else:
            await _discard(conn)
        return response

    async def _converse(
        self,
        conn: httpcore.AsyncHTTP11Connection,
        request: ServiceRequest,
        progress: _Progress,
    ) -> ServiceResponse:
        response = await conn.handle_async_request(
            self._request(request, progress),
        )
        parts = []
        size = 0
        async for part in response.aiter_stream():
            parts.append(part)
            size += len(part)
            if size > _MAX_BODY_BYTES:
                raise httpcore.RemoteProtocolError('the answer is too large')
        await response.aclose()
        return ServiceResponse(status=response.status, body=b''.join(parts))

    async def _take(self) -> httpcore.AsyncHTTP11Connection:
        while self._free:
            conn = self._free.pop()
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

    def _request(
        self,
        request: ServiceRequest,
        progress: _Progress,
    ) -> httpcore.Request:
        own = [
            ('host', self._address.text()),
            ('content-length', str(len(request.body))),
        ]
        if self._key:
            own.append(('authorization', f'Bearer {self._key}'))
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
                for name, text in (*own, *request.headers)
            ],
            content=request.body,
            extensions={'trace': progress.trace},
        )


async def _discard(conn: httpcore.AsyncHTTP11Connection) -> None:
    with anyio.CancelScope(shield=True):
        await conn.aclose()
