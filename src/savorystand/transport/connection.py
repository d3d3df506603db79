"""Client side of a connection to a peer.

This end makes calls and serves none; the peer makes its calls on another
connection, which it opens itself. Besides the frames of calls, a connection
carries load reports from the peer, pings and pongs, and control frames, which
concern the tables and the membership: this end sends ``tables_pull``,
``digest_pull``, ``members_push`` and ``leaving``, and receives
``tables_push``, ``members_push`` and ``leaving``.

A call is pending until it has an outcome. A connection is idle while no call
is pending, and silent while nothing is received.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

import anyio
from expression import Error
from logbook import Logger

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.memory.account import MemoryAccount
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import call_frame
from savorystand.transport.direct import pump
from savorystand.transport.errors import STREAM_ERRORS
from savorystand.transport.errors import describe_malformed
from savorystand.transport.pending import PendingCalls
from savorystand.transport.writer import FrameWriter
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.codec import FrameBuffer
from savorystand.wire.codec import Message
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import ByteStream

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.transport.pending import PendingCall
    from savorystand.transport.writer import FrameObserver

_log = Logger('savorystand')
ControlCallback: TypeAlias = Callable[[Message], None]

# Period of the timer that checks all connections for silence, and silence after
# which it sends a ping if calls are pending.
HEARTBEAT_INTERVAL_MS = 500
# Longest wait for the pong when a connection is checked before its use: more
# than two round trips between regions. Without one a new connection is opened.
_MAX_PONG_WAIT_MS = 100
# Silence after which a connection with pending calls is closed. The check may
# be late by one period of the timer, so that a silent peer is detected within
# the sum of both, 2 s: no request may wait longer for an unresponsive
# connection.
SILENCE_TIMEOUT_MS = 1500
# After a longer silence, a ping checks the connection before it is used.
MAX_UNCHECKED_SILENCE_MS = 1000
# Bound on the pending calls of one connection; the peer applies it as well.
MAX_STREAMS = 4096
# Time after the deadline for the outcome to arrive from the peer. The peer
# knows whether the call has run; this node can only report that it may have.
_OUTCOME_GRACE_MS = 30


class PeerConnection:
    """One connection on which this node makes calls to a peer.

    The peer makes no calls on it.
    """

    __slots__ = (
        '_clock',
        '_frame_buffer',
        '_on_control',
        '_on_frame',
        '_pending',
        '_pong_received',
        '_last_received_ms',
        '_scope',
        '_writer',
        'closed',
        'malformed',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        on_load: Callable[[TargetLoad], None],
        on_control: ControlCallback,
        on_frame: FrameObserver | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """Create the client side; ``run`` attaches it to a byte stream.

        Long bodies and queued frames count towards ``account``. ``on_load``
        gets load reports. ``on_control`` gets control frames: all frames that
        are no load report, no pong and no part of a response or refusal.
        ``on_frame`` gets each frame that is sent or received, and its encoded
        length.
        """
        self._clock = clock
        self._on_frame = on_frame
        self._on_control = on_control
        account = account or MemoryAccount(clock=clock)
        self._pending = PendingCalls(on_load=on_load, account=account)
        self._writer = FrameWriter(account=account, on_frame=on_frame)
        self._last_received_ms = clock.now()
        self._pong_received = anyio.Event()
        self._frame_buffer = FrameBuffer()
        self._scope = anyio.CancelScope()
        self.closed = False
        # What of the peer's bytes could not be decoded, empty unless the
        # connection was closed for it.
        self.malformed = ''

    @property
    def in_flight(self) -> int:
        """Return the number of pending calls."""
        return len(self._pending)

    async def run(self, stream: ByteStream) -> None:
        """Send and receive frames until the stream ends or ``abort``.

        Calls that are pending then end with ``MayHaveRun``.
        """
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._writer.run, stream)
                    await pump(stream, self._handle_bytes)
                    tasks.cancel_scope.cancel()
        except* STREAM_ERRORS as errors:
            self.malformed = describe_malformed(errors)
            # The code that awaits ``call`` gets the failure as the outcome.
            self.closed = True
        finally:
            self._fail_pending_calls()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def send(self, frame: Message) -> None:
        """Queue a short frame, such as a control frame, a ping or a cancel.

        It is dropped if the connection is closed.
        """
        if not self.closed:
            self._writer.send(frame)

    def abort(self) -> None:
        """Close the connection; pending calls end with ``MayHaveRun``."""
        self.closed = True
        self._scope.cancel()

    def recently_active(self) -> bool:
        """Return True if the connection is open and was not silent for long.

        The limit is ``MAX_UNCHECKED_SILENCE_MS``. The silence of a new
        connection starts at its creation.
        """
        silent_ms = self._clock.now() - self._last_received_ms
        return not self.closed and silent_ms < MAX_UNCHECKED_SILENCE_MS

    def is_unused(self, min_silent_ms: float) -> bool:
        """Return True if the connection is idle and silent.

        That is, no call is pending, and nothing was received for at least
        ``min_silent_ms``.
        """
        silent_ms = self._clock.now() - self._last_received_ms
        return not self._pending and silent_ms >= min_silent_ms

    async def check_alive(self) -> bool:
        """Return True if the connection works, after a ping if needed.

        Without a ping, return True for a recently active connection and False
        for a closed one. Otherwise return True if a pong arrives within
        ``_MAX_PONG_WAIT_MS``, and False if none arrives in that time or
        the connection is closed meanwhile.
        """
        if self.closed or self.recently_active():
            return not self.closed
        self._pong_received = anyio.Event()
        # The sequence number is not used: any pong shows that the peer works.
        self._writer.send(ttypes.Frame(ping=ttypes.Ping(sequence=0)))
        with anyio.move_on_after(_MAX_PONG_WAIT_MS / MS_PER_SECOND):
            await self._pong_received.wait()
            return not self.closed
        return False

    def check_silence(self, *, paused: bool) -> None:
        """Ping a silent peer, or close the connection after the timeout.

        Does nothing on an idle connection. To be called every
        ``HEARTBEAT_INTERVAL_MS``. ``paused`` tells that this process was
        suspended or blocked since the previous check: the silence measured
        across the pause says nothing about the peer.
        """
        now = self._clock.now()
        if paused:
            self._last_received_ms = now
        silent_ms = now - self._last_received_ms
        if not self._pending or silent_ms < HEARTBEAT_INTERVAL_MS:
            return
        if silent_ms >= SILENCE_TIMEOUT_MS:
            self.abort()
        self.send(ttypes.Frame(ping=ttypes.Ping(sequence=0)))

    async def call(self, call: Call) -> Outcome:
        """Make a call and return its outcome.

        The outcome is the complete response or the refusal from the peer,
        ``MayHaveRun`` if the connection ends or neither arrives by the
        deadline plus a short grace time, or ``NotRun`` if the connection is
        closed, has no free stream, or a frame of the call is too large.

        The opening frame holds the context, the headers and the first chunk of
        the body. The peer may receive it as soon as it is queued, so that a
        later loss of the connection or timeout is ``MayHaveRun``.
        """
        # Nothing was sent in either case, so that both share one refusal.
        if self.closed or len(self._pending) >= MAX_STREAMS:
            return refuse_unconnected(
                'the connection is closed or has no free stream'
            )
        stream_id, pending = self._pending.open(
            self._clock.loop().create_future()
        )
        wait_ms = call.context.deadline_ms - self._clock.now()
        wait_ms += _OUTCOME_GRACE_MS
        # The timer ends the wait for ``pending.done`` without an outcome. It
        # costs less than an anyio cancel scope.
        timer = self._clock.call_later(max(0, wait_ms), pending.wake)
        try:
            await _send_call(
                self._writer, call, stream_id, pending, self._clock
            )
            await pending.done
        except FrameError as exc:
            return Error(NotRun(reason=Reason.TOO_LARGE, detail=str(exc)))
        finally:
            timer.cancel()
            self._end_call(stream_id, pending)
        if pending.outcome is not None:
            return pending.outcome
        if pending.sent:
            return Error(MayHaveRun(reason=Reason.DEADLINE))
        return Error(
            NotRun(
                reason=Reason.DEADLINE,
                detail='the connection to the peer had no room in time',
            )
        )

    def _end_call(self, stream_id: int, pending: PendingCall) -> None:
        self._pending.close(stream_id)
        if pending.outcome is None or pending.given_up:
            self.send(ttypes.Frame(cancel=ttypes.Cancel(stream=stream_id)))

    def _handle_bytes(self, received: bytes) -> None:
        self._last_received_ms = self._clock.now()
        for frame in self._frame_buffer.feed(received):
            if self._on_frame is not None:
                self._on_frame(frame, self._frame_buffer.frame_bytes)
            self._handle_frame(frame)

    def _handle_frame(self, frame: Message) -> None:
        if self._pending.handle_frame(frame):
            return
        if frame.pong is not None:
            self._pong_received.set()
            return
        try:
            self._on_control(frame)
        except Exception:
            # An error in one control frame must not end the calls that share
            # its connection.
            _log.exception('level=error event=control-failed')

    def _fail_pending_calls(self) -> None:
        self.closed = True
        self._pong_received.set()
        self._pending.fail_all()


async def _send_call(
    writer: FrameWriter,
    call: Call,
    stream_id: int,
    pending: PendingCall,
    clock: Clock,
) -> None:
    """Queue the frames of a call once there is space for the first.

    Nothing is sent if the call ends before.
    """
    is_long = len(call.body) > CHUNK_BYTES
    if is_long or writer.is_full():
        # A call that ends while it waits for space is woken, and stops.
        pending.done.add_done_callback(lambda done: writer.wake_senders())
        await writer.wait_until_not_full(pending.done.done)
        if pending.done.done():
            return
    pending.sent = True
    writer.send(call_frame(call, stream_id, clock.now()))
    if is_long:
        await writer.send_remaining_chunks(
            call.body, stream_id, pending.done.done
        )


class Connections(Protocol):
    """A changing set of connections, such as a dictionary by peer."""

    def values(self) -> Iterable[PeerConnection]:  # noqa: WPS110 - as of dict
        """Return the present connections."""


async def monitor_silence(clock: Clock, connections: Connections) -> None:
    """Check all connections for silence until cancelled.

    One timer serves all of them: each wake-up of an idle process costs CPU
    time that is comparable to a part of the work for a call.
    """
    while True:
        started_ms = clock.now()
        # Waits for the next multiple of the interval.
        await clock.tick(HEARTBEAT_INTERVAL_MS)
        paused = clock.now() - started_ms > SILENCE_TIMEOUT_MS
        for conn in tuple(connections.values()):
            conn.check_silence(paused=paused)


def refuse_unconnected(detail: str) -> Outcome:
    """Return the outcome of a call that was not sent.

    No connection was usable, or the connection had no free stream. ``detail``
    says which.
    """
    return Error(NotRun(reason=Reason.CONNECTION_LOST, detail=detail))
