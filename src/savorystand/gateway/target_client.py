"""HTTP client of the node's one target."""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from expression import Error
from expression import Ok

from savorystand.clock import MS_PER_SECOND
from savorystand.gateway import headers as names
from savorystand.gateway.errors import TargetProtocolError
from savorystand.gateway.http_connection import HttpConnection
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from savorystand.call import Answer
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.clock import Clock

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
# Targets may close idle connections; one that rested longer is not trusted
# with a request, which would then fail as may-have-run.
_MAX_IDLE_MS = 3000
_BROKEN = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TargetProtocolError,
)


class _Progress:
    """Whether the first byte of a request may have left."""

    __slots__ = ('written',)

    def __init__(self) -> None:
        self.written = False


class TargetClient:
    """Free list of connections to the target.

    Admission bounds the calls at a time, and with them the connections.
    """

    __slots__ = ('_clock', '_free', '_host', '_port')

    def __init__(self, *, clock: Clock, host: str, port: int) -> None:
        """Send calls to the target at ``host`` and ``port``."""
        self._clock = clock
        self._host = host
        self._port = port
        self._free: list[tuple[float, HttpConnection]] = []

    async def send(self, call: Call, execution_id: str) -> Outcome:
        """Run a call at the target, as the execution of that id."""
        progress = _Progress()
        left_ms = call.context.deadline_ms - self._clock.now()
        try:
            with anyio.fail_after(max(0, left_ms) / MS_PER_SECOND):
                answer = await self._exchange(call, execution_id, progress)
        except TimeoutError:
            return _failure(progress, Reason.DEADLINE, 'target')
        except _BROKEN as exc:
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
            request = self._encode(call, execution_id)
            # Set before the write is awaited: a cancellation inside it
            # leaves the request in an unknown state.
            progress.written = True
            answer = await conn.exchange(request)
        finally:
            await self._give_back(conn)
        return answer

    async def _take(self) -> HttpConnection:
        while self._free:
            rested_since, conn = self._free.pop()
            if self._clock.now() - rested_since < _MAX_IDLE_MS:
                return conn
            await conn.close()
        return HttpConnection(stream=await self._connect())

    async def _connect(self) -> ByteStream:
        stream = await anyio.connect_tcp(self._host, self._port)
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        for level, option, setting in _SOCKET_OPTIONS:
            raw.setsockopt(level, option, setting)
        return stream

    async def _give_back(self, conn: HttpConnection) -> None:
        if conn.reusable:
            self._free.append((self._clock.now(), conn))
        else:
            await conn.close()

    def _encode(self, call: Call, execution_id: str) -> bytes:
        left_ms = max(0, int(call.context.deadline_ms - self._clock.now()))
        context = names.format_context(call.context, execution_id)
        lines = [
            f'{call.method} {call.path} HTTP/1.1',
            f'host: {self._host}:{self._port}',
            f'content-length: {len(call.body)}',
            f'{names.DEADLINE}: {left_ms}',
            f'{names.CONTEXT}: {context}',
            *(f'{name}: {text}' for name, text in call.headers),
            '\r\n',
        ]
        return '\r\n'.join(lines).encode('latin-1') + call.body


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
