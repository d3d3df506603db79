"""Client side of a connection to a peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio
from expression import Error

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import call_frame
from savorystand.transport.direct import pump
from savorystand.transport.errors import STREAM_ERRORS
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
    from collections.abc import Mapping

    from anyio.abc import ByteStream

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.transport.address import PeerAddress
    from savorystand.transport.pending import PendingCall

ControlCallback: TypeAlias = Callable[[Message], None]

# A ping is sent once nothing has arrived for this long while calls are pending.
HEARTBEAT_INTERVAL_MS = 500
# A connection is closed once nothing has arrived for this long while calls are
# pending, so that no request waits 2 s because of a silent peer.
SILENCE_TIMEOUT_MS = 1500
# After a longer idle time, a ping checks the connection before a call uses it.
MAX_UNCHECKED_IDLE_MS = 1000
# Bound on the calls in progress on one connection.
MAX_STREAMS = 4096
# Time after the deadline for the verdict of the peer to arrive. The peer knows
# whether the call has run, while this node can only report that it may have.
_VERDICT_GRACE_MS = 30


class PeerConnection:
    """One open connection on which this node makes calls to a peer."""

    __slots__ = (
        '_clock',
        '_frame_buffer',
        '_on_control',
        '_pending',
        '_pong_received',
        '_last_received_ms',
        '_scope',
        '_writer',
        'closed',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        on_load: Callable[[TargetLoad], None],
        on_control: ControlCallback,
    ) -> None:
        """Create the client side; ``run`` attaches it to a byte stream.

        ``on_load`` gets load reports, ``on_control`` control frames.
        """
        self._clock = clock
        self._on_control = on_control
        self._pending = PendingCalls(on_load=on_load)
        self._writer = FrameWriter()
        self._last_received_ms = clock.now()
        self._pong_received = anyio.Event()
        self._frame_buffer = FrameBuffer()
        self._scope = anyio.CancelScope()
        self.closed = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls that await a response."""
        return len(self._pending)

    async def run(self, stream: ByteStream) -> None:
        """Send and receive frames until the stream ends.

        Calls that are pending then fail with ``MayHaveRun``.
        """
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._writer.run, stream)
                    await pump(stream, self._handle_bytes)
                    tasks.cancel_scope.cancel()
        except* STREAM_ERRORS:
            # Callers learn of the failure from the outcome of their calls.
            self.closed = True
        finally:
            self._fail_pending_calls()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def send(self, frame: Message) -> None:
        """Queue a control frame, which is dropped if the connection ends."""
        if not self.closed:
            self._writer.send(frame)

    def abort(self) -> None:
        """Close the connection; pending calls fail with ``MayHaveRun``."""
        self.closed = True
        self._scope.cancel()

    def recently_active(self) -> bool:
        """Return True if bytes arrived within ``MAX_UNCHECKED_IDLE_MS``."""
        idle_ms = self._clock.now() - self._last_received_ms
        return not self.closed and idle_ms < MAX_UNCHECKED_IDLE_MS

    def is_unused(self, min_idle_ms: float) -> bool:
        """Return True if the connection is idle and no call is pending.

        It is idle if nothing has arrived for at least ``min_idle_ms``.
        """
        silent_ms = self._clock.now() - self._last_received_ms
        return not self._pending and silent_ms >= min_idle_ms

    async def check_alive(self) -> bool:
        """Return True if the connection works; ping the peer if it was idle."""
        if self.closed or self.recently_active():
            return not self.closed
        self._pong_received = anyio.Event()
        self._writer.send(ttypes.Frame(ping=ttypes.Ping(sequence=0)))
        with anyio.move_on_after(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND):
            await self._pong_received.wait()
            return not self.closed
        return False

    def check_silence(self, *, paused: bool) -> None:
        """Ping a silent peer, or close the connection after the timeout.

        To be called every ``HEARTBEAT_INTERVAL_MS``. ``paused`` tells that
        this process did not run for some time: the silence measured across
        the pause says nothing about the peer.
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
        """Make a call and wait for its complete response or a refusal.

        The peer may receive the opening frame as soon as it is queued, so
        that any later failure is ``MayHaveRun``.
        """
        if self.closed or len(self._pending) >= MAX_STREAMS:
            return refuse_unconnected(
                'the connection is closed or has no free stream'
            )
        stream_id, pending = self._pending.open(
            self._clock.loop().create_future()
        )
        now = self._clock.now()
        wait_ms = call.context.deadline_ms - now + _VERDICT_GRACE_MS
        # A timer costs less than an anyio cancel scope.
        timer = self._clock.call_later(max(0, wait_ms), pending.wake)
        try:
            self._writer.send(call_frame(call, stream_id, now))
            if len(call.body) > CHUNK_BYTES:
                # Ends an upload that waits for space together with its call.
                pending.done.add_done_callback(
                    lambda done: self._writer.wake_senders()
                )
                await self._writer.send_remaining_chunks(
                    call.body, stream_id, pending.done.done
                )
            await pending.done
        except FrameError as exc:
            return Error(NotRun(reason=Reason.TOO_LARGE, detail=str(exc)))
        finally:
            timer.cancel()
            self._end_call(stream_id, pending)
        if pending.outcome is None:
            return Error(MayHaveRun(reason=Reason.DEADLINE))
        return pending.outcome

    def _end_call(self, stream_id: int, pending: PendingCall) -> None:
        self._pending.close(stream_id)
        if pending.outcome is None:
            self.send(ttypes.Frame(cancel=ttypes.Cancel(stream=stream_id)))

    def _handle_bytes(self, received: bytes) -> None:
        self._last_received_ms = self._clock.now()
        for frame in self._frame_buffer.feed(received):
            self._handle_frame(frame)

    def _handle_frame(self, frame: Message) -> None:
        if self._pending.handle_frame(frame):
            return
        if frame.pong is None:
            self._on_control(frame)
            return
        self._pong_received.set()

    def _fail_pending_calls(self) -> None:
        self.closed = True
        self._pong_received.set()
        self._pending.fail_all()


async def monitor_silence(
    clock: Clock, connections: Mapping[PeerAddress, PeerConnection]
) -> None:
    """Check all connections for silence until cancelled.

    One timer serves all of them, because a wake-up of an idle process costs as
    much as a part of a call.
    """
    while True:
        started_ms = clock.now()
        await clock.tick(HEARTBEAT_INTERVAL_MS)
        paused = clock.now() - started_ms > SILENCE_TIMEOUT_MS
        for conn in tuple(connections.values()):
            conn.check_silence(paused=paused)


def refuse_unconnected(detail: str) -> Outcome:
    """Return the outcome of a call for which no connection is usable."""
    return Error(NotRun(reason=Reason.CONNECTION_LOST, detail=detail))
