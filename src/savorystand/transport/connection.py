"""The calling side of a connection to a peer."""

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

# A ping is sent after this much silence while answers are awaited.
HEARTBEAT_INTERVAL_MS = 500
# A connection without traffic for this long, while answers are awaited, is
# given up, so that no request waits 2 s because of it.
SILENCE_TIMEOUT_MS = 1500
# A connection that has been idle for longer is checked started_ms a call uses it.
MAX_UNCHECKED_IDLE_MS = 1000
MAX_STREAMS = 4096
# What the peer gets to report its own verdict on an expired call.
_VERDICT_GRACE_MS = 30


class PeerConnection:
    """One open connection, on which this node makes calls to a peer."""

    __slots__ = (
        '_clock',
        '_frames',
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
        """Create a connection that ``run`` brings to life."""
        self._clock = clock
        self._on_control = on_control
        self._pending = PendingCalls(on_load=on_load)
        self._writer = FrameWriter()
        self._last_received_ms = clock.now()
        self._pong_received = anyio.Event()
        self._frames = FrameBuffer()
        self._scope = anyio.CancelScope()
        self.closed = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls that await an answer."""
        return len(self._pending)

    async def run(self, stream: ByteStream) -> None:
        """Serve the connection until it ends; pending calls then fail."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._writer.run, stream)
                    await pump(stream, self._handle_bytes)
                    tasks.cancel_scope.cancel()
        except* STREAM_ERRORS:
            # The pending calls carry the failure to their callers.
            self.closed = True
        finally:
            self._fail_pending_calls()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def send(self, frame: Message) -> None:
        """Send a control frame, which is lost if the connection ends."""
        if not self.closed:
            self._writer.send(frame)

    def abort(self) -> None:
        """Give the connection up; its calls fail with truthful verdicts."""
        self.closed = True
        self._scope.cancel()

    def recently_active(self) -> bool:
        """Return True if recent traffic shows that the connection works."""
        idle_ms = self._clock.now() - self._last_received_ms
        return not self.closed and idle_ms < MAX_UNCHECKED_IDLE_MS

    def is_unused(self, min_idle_ms: float) -> bool:
        """Return True if it has no calls and had no traffic for so long."""
        silent_ms = self._clock.now() - self._last_received_ms
        return not self._pending and silent_ms >= min_idle_ms

    async def check_alive(self) -> bool:
        """Return True once traffic shows that the connection still works."""
        if self.closed or self.recently_active():
            return not self.closed
        self._pong_received = anyio.Event()
        self._writer.send(ttypes.Frame(ping=ttypes.Ping(sequence=0)))
        with anyio.move_on_after(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND):
            await self._pong_received.wait()
            return not self.closed
        return False

    def check_silence(self, *, paused: bool) -> None:
        """Look for silence; to be called every ``HEARTBEAT_INTERVAL_MS``.

        After a pause of this process the peer is not to blame.
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
        """Make a call and wait for its whole answer or a refusal.

        Once the opening frame is queued the peer may see it, so that any
        failure from there on is ``MayHaveRun``.
        """
        if self.closed or len(self._pending) >= MAX_STREAMS:
            return refuse_unconnected('no free stream')
        stream, pending = self._pending.open(self._clock.loop().create_future())
        now = self._clock.now()
        wait_ms = call.context.deadline_ms - now + _VERDICT_GRACE_MS
        # A timer costs less than a cancel scope.
        timer = self._clock.call_later(max(0, wait_ms), pending.wake)
        try:
            self._writer.send(call_frame(call, stream, now))
            if len(call.body) > CHUNK_BYTES:
                # An upload that waits for room ends with its call.
                pending.done.add_done_callback(
                    lambda done: self._writer.wake_senders()
                )
                await self._writer.send_remaining_chunks(
                    call.body, stream, pending.done.done
                )
            await pending.done
        except FrameError as exc:
            return Error(NotRun(reason=Reason.TOO_LARGE, detail=str(exc)))
        finally:
            timer.cancel()
            self._end_call(stream, pending)
        if pending.outcome is None:
            return Error(MayHaveRun(reason=Reason.DEADLINE))
        return pending.outcome

    def _end_call(self, stream: int, pending: PendingCall) -> None:
        self._pending.close(stream)
        if pending.outcome is None:
            self.send(ttypes.Frame(cancel=ttypes.Cancel(stream=stream)))

    def _handle_bytes(self, received: bytes) -> None:
        self._last_received_ms = self._clock.now()
        for frame in self._frames.feed(received):
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
    """Look for silent connections until cancelled.

    One timer serves all of them: a wake-up of an idle process costs as much
    as a part of a call.
    """
    while True:
        started_ms = clock.now()
        await clock.tick(HEARTBEAT_INTERVAL_MS)
        paused = clock.now() - started_ms > SILENCE_TIMEOUT_MS
        for conn in tuple(connections.values()):
            conn.check_silence(paused=paused)


def refuse_unconnected(detail: str) -> Outcome:
    """Return the refusal for a peer that no connection reaches."""
    return Error(NotRun(reason=Reason.CONNECTION_LOST, detail=detail))
