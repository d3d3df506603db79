"""Attempts to connect to peers, which all that need a connection share."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

import anyio
from logbook import Logger

from savorystand.transport.connection import HEARTBEAT_INTERVAL_MS
from savorystand.transport.connection import PeerConnection
from savorystand.transport.errors import ConnectionLostError

if TYPE_CHECKING:
    import asyncio

    from anyio.abc import TaskGroup

    from savorystand.clock import Clock
    from savorystand.transport.address import PeerAddress

OpenConnection: TypeAlias = Callable[
    ['PeerAddress'], Awaitable['PeerConnection']
]

CONNECT_TIMEOUT_MS = 1000
# Part of its remaining time for which a call waits for a connection: three
# waits, as many as it may skip targets without a retry, leave it 0.42 of it.
_CALL_FRACTION = 0.25
# A call waits for no attempt that has taken longer. A handshake takes two round
# trips at most.
_MAX_CALL_WAIT_MS = 500
# The same once an attempt has failed: about the longest round trip twice.
_MAX_RETRY_WAIT_MS = 100
# A control frame waits until the attempt ends, which may begin with a ping.
_MAX_CONTROL_WAIT_MS = CONNECT_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS
# Pause after a failed attempt; doubled with each further failure.
_MIN_PAUSE_MS = 100
_MAX_PAUSE_MS = 2000
_log = Logger('savorystand')


@final
class _Attempt:
    """An attempt in progress, and those that wait for its end."""

    __slots__ = ('conn', 'problem', 'scope', 'started_ms', 'waiters')

    def __init__(self, *, started_ms: float) -> None:
        """Start without waiters."""
        self.started_ms = started_ms
        self.scope = anyio.CancelScope()
        self.waiters: set[asyncio.Future[None]] = set()
        self.conn: PeerConnection | None = None
        # What is known while the attempt has not ended.
        self.problem = 'no connection yet'


@final
@dataclass(slots=True, kw_only=True)
class _Failure:
    """The last attempt, which failed; no other begins before ``retry_ms``."""

    problem: str
    retry_ms: float
    pause_ms: float


@final
class PeerConnector:
    """Connects to peers, by one attempt at a time for each of them.

    Whoever needs a connection waits for the end of the attempt in progress, and
    only as long as there is time left for another peer. After a failed attempt
    there is none for a pause, in which calls are refused at once.
    """

    __slots__ = ('_attempts', '_clock', '_failures', '_open', '_tasks')

    def __init__(
        self, *, clock: Clock, open_connection: OpenConnection
    ) -> None:
        """Connect by ``open_connection``, which raises ConnectionLostError."""
        self._clock = clock
        self._open = open_connection
        self._attempts: dict[PeerAddress, _Attempt] = {}
        self._failures: dict[PeerAddress, _Failure] = {}
        self._tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Run attempts in ``tasks`` from now on."""
        self._tasks = tasks

    async def connect_for_call(
        self, peer: PeerAddress, remaining_ms: float
    ) -> PeerConnection:
        """Return a connection for a call that has ``remaining_ms`` left.

        Raises:
            ConnectionLostError: there is none in time; nothing was sent.
        """
        return await self._connect(
            peer,
            max_wait_ms=remaining_ms * _CALL_FRACTION,
            max_age_ms=(
                _MAX_RETRY_WAIT_MS
                if peer in self._failures
                else _MAX_CALL_WAIT_MS
            ),
        )

    async def connect_for_control(self, peer: PeerAddress) -> PeerConnection:
        """Return a connection for a control frame.

        Raises:
            ConnectionLostError: the attempt failed, or one did just before.
        """
        return await self._connect(
            peer,
            max_wait_ms=_MAX_CONTROL_WAIT_MS,
            max_age_ms=_MAX_CONTROL_WAIT_MS,
        )

    def forget(self, peer: PeerAddress) -> None:
        """End the attempt to connect to a peer that will not return."""
        self._failures.pop(peer, None)
        attempt = self._attempts.get(peer)
        if attempt is not None:
            attempt.scope.cancel()

    def forget_failures(self) -> None:
        """Forget failures whose pause ended long ago."""
        longest_ago_ms = self._clock.now() - _MAX_PAUSE_MS
        for peer, failure in list(self._failures.items()):
            if failure.retry_ms < longest_ago_ms:
                del self._failures[peer]

    async def _connect(
        self, peer: PeerAddress, *, max_wait_ms: float, max_age_ms: float
    ) -> PeerConnection:
        attempt = self._attempts.get(peer) or self._begin(peer)
        age_ms = self._clock.now() - attempt.started_ms
        await self._wait(attempt, min(max_wait_ms, max_age_ms - age_ms))
        if attempt.conn is None:
            raise ConnectionLostError(attempt.problem)
        return attempt.conn

    def _begin(self, peer: PeerAddress) -> _Attempt:
        now = self._clock.now()
        failure = self._failures.get(peer)
        if failure is not None and now < failure.retry_ms:
            left_ms = int(failure.retry_ms - now)
            raise ConnectionLostError(
                f'next attempt to connect in {left_ms} ms: {failure.problem}'
            )
        if self._tasks is None:
            raise ConnectionLostError('this node is stopping')
        attempt = _Attempt(started_ms=now)
        self._attempts[peer] = attempt
        self._tasks.start_soon(self._run, peer, attempt)
        return attempt

    async def _wait(self, attempt: _Attempt, max_wait_ms: float) -> None:
        if max_wait_ms <= 0:
            return
        waiter = self._clock.loop().create_future()
        attempt.waiters.add(waiter)
        # Costs less than an anyio cancel scope.
        timer = self._clock.call_later(max_wait_ms, lambda: _wake(waiter))
        try:
            await waiter
        finally:
            timer.cancel()
            attempt.waiters.discard(waiter)

    async def _run(self, peer: PeerAddress, attempt: _Attempt) -> None:
        try:
            with attempt.scope:
                attempt.conn = await self._open(peer)
        except ConnectionLostError as exc:
            attempt.problem = str(exc)
        except Exception as exc:
            # An unexpected error costs one attempt, not the node.
            attempt.problem = repr(exc)
            _log.exception('level=error event=peer-connection-failed')
        finally:
            self._end(peer, attempt)

    def _end(self, peer: PeerAddress, attempt: _Attempt) -> None:
        del self._attempts[peer]
        previous = self._failures.pop(peer, None)
        if attempt.conn is None and not attempt.scope.cancel_called:
            pause_ms = float(_MIN_PAUSE_MS)
            if previous is not None:
                pause_ms = min(2 * previous.pause_ms, _MAX_PAUSE_MS)
            self._failures[peer] = _Failure(
                problem=attempt.problem,
                retry_ms=self._clock.now() + pause_ms,
                pause_ms=pause_ms,
            )
        for waiter in tuple(attempt.waiters):
            _wake(waiter)


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
