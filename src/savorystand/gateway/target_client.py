"""HTTP client of the node's one target."""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import Any

import anyio
import httpcore
from expression import Error
from expression import Ok

from savorystand.call import Answer
from savorystand.call import Call
from savorystand.call import Headers
from savorystand.call import Outcome
from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.gateway import headers as names
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

# Unacknowledged data older than this ends a connection (RFC 5482), so that
# one that went silent fails within 2 s while a slow target does not.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_SECONDS = 1
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
)
_FAILED_STATUSES = frozenset((502, 503, 504))
_NOT_RUN = 'not-run'


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


class TargetClient:
    """Free list of connections to the target; the pool's row bounds it."""

    __slots__ = ('_backend', '_clock', '_free', '_host', '_port')

    def __init__(self, *, clock: Clock, host: str, port: int) -> None:
        """Send calls to the target at ``host`` and ``port``."""
        self._clock = clock
        self._host = host
        self._port = port
        self._backend = httpcore.AnyIOBackend()
        self._free: list[httpcore.AsyncHTTP11Connection] = []

    async def send(self, call: Call, execution_id: str) -> Outcome:
        """Run a call at the target, as the execution of that id."""
        progress = _Progress()
        left_ms = call.context.deadline_ms - self._clock.now()
        try:
            with anyio.fail_after(max(0, left_ms) / MS_PER_SECOND):
                answer = await self._exchange(call, execution_id, progress)
        except TimeoutError:
            return _failure(progress, Reason.DEADLINE, 'target')
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as exc:
            return _failure(progress, Reason.TARGET_FAILED, str(exc))
        return _judge(answer)

    async def _exchange(
        self,
        call: Call,
        execution_id: str,
        progress: _Progress,
    ) -> Answer:
        conn = await self._take()
        try:
            response = await conn.handle_async_request(
                self._request(call, execution_id, progress),
            )
            body = await response.aread()
            await response.aclose()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await conn.aclose()
            raise
        if conn.is_idle():
            self._free.append(conn)
        return Answer(
            status=response.status,
            headers=_decoded(response.headers),
            body=body,
        )

    async def _take(self) -> httpcore.AsyncHTTP11Connection:
        while self._free:
            conn = self._free.pop()
            if not conn.has_expired():
                return conn
            await conn.aclose()
        stream = await self._backend.connect_tcp(
            self._host,
            self._port,
            socket_options=_SOCKET_OPTIONS,
        )
        origin = httpcore.Origin(b'http', self._host.encode(), self._port)
        return httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)

    def _request(
        self,
        call: Call,
        execution_id: str,
        progress: _Progress,
    ) -> httpcore.Request:
        left_ms = call.context.deadline_ms - self._clock.now()
        context = names.format_context(call.context, execution_id)
        own = (
            ('host', f'{self._host}:{self._port}'),
            ('content-length', str(len(call.body))),
            (names.DEADLINE, str(max(0, int(left_ms)))),
            (names.CONTEXT, context),
        )
        return httpcore.Request(
            method=call.method,
            url=httpcore.URL(
                scheme=b'http',
                host=self._host.encode(),
                port=self._port,
                target=call.path.encode('latin-1'),
            ),
            headers=[
                (name.encode('latin-1'), text.encode('latin-1'))
                for name, text in (*own, *call.headers)
            ],
            content=call.body,
            extensions={'trace': progress.trace},
        )


def _decoded(headers: list[tuple[bytes, bytes]]) -> Headers:
    return tuple(
        (name.decode('latin-1').lower(), text.decode('latin-1'))
        for name, text in headers
    )


def _failure(progress: _Progress, reason: Reason, detail: str) -> Outcome:
    if progress.written:
        return Error(MayHaveRun(reason=reason, detail=detail))
    return Error(NotRun(reason=reason, detail=detail))


def _judge(answer: Answer) -> Outcome:
    verdict = names.header(answer.headers, names.VERDICT)
    if verdict == _NOT_RUN:
        detail = f'target refused with {answer.status}'
        return Error(NotRun(reason=Reason.OVERLOADED, detail=detail))
    if answer.status in _FAILED_STATUSES:
        detail = f'target answered {answer.status}'
        return Error(MayHaveRun(reason=Reason.TARGET_FAILED, detail=detail))
    return Ok(replace(answer, headers=names.forwarded(answer.headers)))
