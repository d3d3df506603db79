"""Server side of a connection from a peer."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from savorystand.memory.account import MemoryAccount
from savorystand.memory.errors import MemoryShortError
from savorystand.transport.connection import MAX_STREAMS
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import decode_call
from savorystand.transport.conversion import refusal_frame
from savorystand.transport.conversion import response_frame
from savorystand.transport.direct import pump
from savorystand.transport.errors import STREAM_ERRORS
from savorystand.transport.errors import describe_malformed
from savorystand.transport.incoming_calls import IncomingCalls
from savorystand.transport.writer import FrameWriter
from savorystand.verdict import MayHaveRun
from savorystand.verdict import Reason
from savorystand.verdict import Refusal
from savorystand.verdict import refuse_undispatched
from savorystand.wire.codec import FrameBuffer
from savorystand.wire.codec import Message
from savorystand.wire.errors import CallError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from anyio.abc import ByteStream

    from savorystand.call import Body
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.clock import Clock
    from savorystand.transport.inbound import ControlResponder
    from savorystand.transport.inbound import InboundHandler

_log = Logger('savorystand')
_MEMORY_RETRY_AFTER_MS = 1000


class ServerConnection:
    """Serves the calls of one peer, each in a task of its own."""

    __slots__ = (
        '_clock',
        '_control',
        '_frame_buffer',
        '_inbound',
        '_incoming',
        '_calls',
        '_writer',
        'malformed',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        inbound: InboundHandler,
        control: ControlResponder,
        account: MemoryAccount | None = None,
    ) -> None:
        """Create the server side; ``run`` attaches it to a byte stream.

        Calls in progress, bodies and queued frames count towards ``account``.
        """
        self._clock = clock
        self._inbound = inbound
        self._control = control
        self._frame_buffer = FrameBuffer()
        account = account or MemoryAccount(clock=clock)
        self._writer = FrameWriter(account=account)
        self._incoming = IncomingCalls(account=account)
        self._calls: dict[int, asyncio.Task[None]] = {}
        # What of the peer's bytes could not be decoded, empty unless the
        # connection was closed for it.
        self.malformed = ''

    async def run(self, stream: ByteStream) -> None:
        """Serve calls until the stream ends, then cancel those in progress."""
        try:
            async with stream, anyio.create_task_group() as tasks:
                tasks.start_soon(self._writer.run, stream)
                await pump(stream, self._handle_bytes)
                tasks.cancel_scope.cancel()
        except* STREAM_ERRORS as errors:
            self.malformed = describe_malformed(errors)
            # The peer detects the loss itself and fails its pending calls.
            self._incoming.close()
        finally:
            for task in self._calls.values():
                task.cancel()
            self._incoming.close()

    def send(self, encoded: bytes) -> None:
        """Queue an encoded control frame."""
        self._writer.send_encoded(encoded)

    def busy(self) -> bool:
        """Return True while calls run or frames wait to be written."""
        return bool(self._calls) or not self._writer.idle()

    def _handle_bytes(self, received: bytes) -> None:
        for frame in self._frame_buffer.feed(received):
            if frame.call is not None:
                self._receive_call(frame.call)
            elif frame.chunk is not None:
                self._receive_chunk(frame.chunk)
            elif frame.cancel is not None:
                self._cancel(frame.cancel.stream)
            else:
                _answer_control(self._control, frame, self._writer)

    def _receive_call(self, start: Message) -> None:
        if start.stream in self._calls or start.stream in self._incoming:
            # The refusal ends the earlier call too, which may run.
            self._cancel(start.stream)
            self._refuse(start.stream, MayHaveRun(reason=Reason.INVALID_CALL))
        elif len(self._calls) + len(self._incoming) >= MAX_STREAMS:
            self._refuse(start.stream, _undispatched(start, Reason.OVERLOADED))
        else:
            drop = partial(self._refuse, start.stream, _memory_refusal(start))
            self._start_when_complete(
                start, partial(self._incoming.begin, start, drop)
            )

    def _receive_chunk(self, chunk: Message) -> None:
        start = self._incoming.start_of(chunk.stream)
        # The call may have been refused or cancelled.
        if start is not None:
            self._start_when_complete(start, partial(self._incoming.add, chunk))

    def _start_when_complete(
        self, start: Message, receive_body: Callable[[], Body | None]
    ) -> None:
        """Start a call if its body is complete, or refuse it alone."""
        try:
            body = receive_body()
            if body is not None:
                self._start_call(start, body)
        except MemoryShortError:
            self._refuse(start.stream, _memory_refusal(start))
        except CallError as exc:
            self._incoming.forget(start.stream)
            self._refuse(start.stream, _invalid_refusal(start, exc))

    def _cancel(self, stream_id: int) -> None:
        self._incoming.forget(stream_id)
        task = self._calls.get(stream_id)
        if task is not None:
            task.cancel()
            # A task that has not started yet never gets to its own clean-up.
            task.add_done_callback(lambda _: self._end_call(stream_id))

    def _end_call(self, stream_id: int) -> None:
        self._calls.pop(stream_id, None)
        self._incoming.end(stream_id)

    def _start_call(self, start: Message, body: Body) -> None:
        route = self._inbound.route(start.route)
        if route is None:
            self._refuse(start.stream, _undispatched(start, Reason.NO_ROUTE))
            return
        call = decode_call(start, route, body, self._clock.now())
        self._incoming.count(start, body)
        # An asyncio task costs a tenth of an anyio task, which has a cancel
        # scope.
        self._calls[start.stream] = self._clock.loop().create_task(
            self._serve(start.stream, call)
        )

    async def _serve(
        self,
        stream_id: int,
        call: Call,
    ) -> None:
        try:
            outcome = await self._inbound.serve(call)
            if self._writer.is_full():
                await self._writer.wait_until_not_full()
            body = self._send_outcome(stream_id, outcome)
            if len(body) > CHUNK_BYTES:
                await self._writer.send_remaining_chunks(body, stream_id)
        except Exception:
            # An error in one call must not end the connection with all others.
            _log.exception('event=call_failed route={}', call.route.name)
            self._refuse(stream_id, MayHaveRun(reason=Reason.TARGET_FAILED))
        finally:
            self._end_call(stream_id)

    def _send_outcome(self, stream_id: int, outcome: Outcome) -> Body:
        # Returns the body; its first chunk is sent, the others are not.
        match outcome:
            case Result(tag='ok', ok=response):
                self._writer.send(response_frame(response, stream_id))
                return response.body
            case Result(error=refusal):
                self._refuse(stream_id, refusal)
                return b''

    def _refuse(self, stream_id: int, refusal: Refusal) -> None:
        load = self._inbound.load()
        self._writer.send(refusal_frame(refusal, stream_id, load))


def _answer_control(
    control: ControlResponder, frame: Message, writer: FrameWriter
) -> None:
    if frame.ping is not None:
        pong = ttypes.Pong(sequence=frame.ping.sequence)
        writer.send(ttypes.Frame(pong=pong))
        return
    try:
        response = control.answer(frame)
        if response is not None:
            writer.send(response)
    except Exception:
        # An error in one control frame must not end the calls that share its
        # connection.
        _log.exception('level=error event=control-failed')


def _undispatched(start: Message, reason: Reason) -> Refusal:
    # The home node of the key has not looked it up yet, so that only a first
    # attempt is known to have no earlier run.
    no_earlier_run = not start.to_home or start.attempt == 1
    return refuse_undispatched(
        reason, detail=start.route, no_earlier_run=no_earlier_run
    )


def _invalid_refusal(start: Message, exc: CallError) -> Refusal:
    return replace(_undispatched(start, Reason.INVALID_CALL), detail=str(exc))


def _memory_refusal(start: Message) -> Refusal:
    # Another node of the pool may have room.
    return replace(
        _undispatched(start, Reason.UNAVAILABLE),
        detail='the node has no memory for the call',
        retry_after_ms=_MEMORY_RETRY_AFTER_MS,
    )
