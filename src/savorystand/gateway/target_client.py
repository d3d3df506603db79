"""HTTP client of the local target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Error

from savorystand.clock import MS_PER_SECOND
from savorystand.gateway.errors import TargetProtocolError
from savorystand.gateway.http_connection import HttpConnection
from savorystand.gateway.target_adapter import ContextAdapter
from savorystand.memory.account import MemoryAccount
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.clock import Clock
    from savorystand.gateway.target import TargetBinding
    from savorystand.gateway.target_adapter import TargetAdapter

# A target may close an idle connection. If it does so while a request is being
# sent, the outcome is ``MayHaveRun``, although the target has not run the
# request. Connections that were idle for this time are therefore not reused.
_MAX_IDLE_MS = 3000
# Part of its remaining time for which a call waits for a connection, and the
# most that a target on the same machine may take. The rest is for another one.
_CONNECT_FRACTION = 0.25
_MAX_CONNECT_MS = 500
_CONNECTION_ERRORS = (OSError, TargetProtocolError)


def _always(binding: TargetBinding) -> bool:
    return True


class TargetClient:
    """Sends calls to the target and reuses its idle connections.

    It does not limit the number of connections itself: ``AdmissionQueue``
    limits the calls that run at once, and each uses one connection.
    """

    __slots__ = (
        '_account',
        '_adapter',
        '_clock',
        '_host',
        '_idle',
        '_may_start',
        '_port',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        host: str,
        port: int,
        adapter: TargetAdapter | None = None,
        account: MemoryAccount | None = None,
        may_start: Callable[[TargetBinding], bool] = _always,
    ) -> None:
        """Create a client of the target at ``host`` and ``port``.

        Without ``adapter`` the target uses the ``savorystand-*`` headers; see
        ``ContextAdapter``. Bodies of responses count towards ``account``.
        ``may_start`` returns False once the target of a binding may get no
        further calls. It is asked right before the first byte is written.
        """
        self._clock = clock
        self._adapter = adapter or ContextAdapter(host=f'{host}:{port}')
        self._may_start = may_start
        self._account = account or MemoryAccount(clock=clock)
        self._host = host
        self._port = port
        # Time since when it is idle, id of its target, and the connection.
        self._idle: list[tuple[float, str, HttpConnection]] = []

    async def send(
        self, call: Call, execution_id: str, binding: TargetBinding
    ) -> Outcome:
        """Send a call to the target and return its outcome.

        ``execution_id`` identifies this run of the request at the target.
        Each attempt that a target runs has its own. ``binding`` is the target
        for which the call was admitted.
        """
        remaining_ms = self._remaining_ms(call)
        if remaining_ms <= 0:
            return Error(_deadline_refusal())
        try:
            conn = self._reuse(binding) or await self._connect(remaining_ms)
        except TimeoutError:
            return Error(
                NotRun(
                    reason=Reason.UNAVAILABLE,
                    detail='the target takes no connection',
                )
            )
        except _CONNECTION_ERRORS as exc:
            return Error(
                NotRun(
                    reason=Reason.TARGET_FAILED,
                    detail=f'cannot connect to the target: {exc}',
                )
            )
        # Connecting takes time, in which a permission may run out and the
        # address may get another target.
        remaining_ms = self._remaining_ms(call)
        refusal = self._late_refusal(remaining_ms, binding)
        if refusal is not None:
            self._release(conn, binding)
            return Error(refusal)
        headers = self._adapter.request_headers(
            call, execution_id, remaining_ms, binding
        )
        # From here on the target may have received a part of the request.
        try:
            response = await conn.exchange(
                _encode_head(call, headers),
                call.body,
                remaining_ms,
                self._adapter.response_matcher(call, is_first=conn.is_new),
                self._adapter.head_observer(call),
            )
        except TimeoutError:
            return Error(
                MayHaveRun(
                    reason=Reason.DEADLINE,
                    detail='target did not respond before the deadline',
                )
            )
        except _CONNECTION_ERRORS as exc:
            failure = MayHaveRun(
                reason=Reason.TARGET_FAILED,
                detail=f'exchange with the target failed: {exc}',
            )
            return Error(failure)
        finally:
            self._release(conn, binding)
        return self._adapter.outcome_of(response)

    def _late_refusal(
        self, remaining_ms: float, binding: TargetBinding
    ) -> NotRun | None:
        if remaining_ms <= 0:
            return _deadline_refusal()
        if not self._may_start(binding):
            target = binding.instance or 'target'
            return NotRun(
                reason=Reason.DRAINING,
                detail=f'{target} left before the request was sent',
            )
        return None

    def _reuse(self, binding: TargetBinding) -> HttpConnection | None:
        while self._idle:
            idle_since_ms, instance, conn = self._idle.pop()
            idle_ms = self._clock.now() - idle_since_ms
            is_fresh = conn.reusable and idle_ms < _MAX_IDLE_MS
            if is_fresh and instance == binding.instance:
                return conn
            conn.close()
        return None

    async def _connect(self, remaining_ms: float) -> HttpConnection:
        wait_ms = min(remaining_ms * _CONNECT_FRACTION, _MAX_CONNECT_MS)
        with anyio.fail_after(wait_ms / MS_PER_SECOND):
            return await HttpConnection.connect(
                clock=self._clock,
                host=self._host,
                port=self._port,
                account=self._account,
            )

    def _release(self, conn: HttpConnection, binding: TargetBinding) -> None:
        if conn.reusable:
            self._idle.append((self._clock.now(), binding.instance, conn))
        else:
            conn.close()

    def _remaining_ms(self, call: Call) -> float:
        return call.context.deadline_ms - self._clock.now()


def _deadline_refusal() -> NotRun:
    return NotRun(
        reason=Reason.DEADLINE,
        detail='deadline passed before the request was sent',
    )


def _encode_head(call: Call, headers: Headers) -> bytes:
    lines = [f'{name}: {text}' for name, text in headers]
    lines.insert(0, f'{call.method} {call.path} HTTP/1.1')
    lines.append(f'content-length: {len(call.body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1')
