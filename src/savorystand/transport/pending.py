"""Calls of one connection that await their answers."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from expression import Error

from savorystand.call import Answered
from savorystand.transport.assembly import BodyAssembly
from savorystand.transport.assembly import complete_body
from savorystand.transport.conversion import decode_refusal
from savorystand.transport.conversion import decode_response
from savorystand.transport.loads import decode_load_push
from savorystand.transport.loads import decode_refusal_load
from savorystand.verdict import MayHaveRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.wire.codec import Message


class PendingCall:
    """One call whose answer has not arrived in whole."""

    __slots__ = ('assembly', 'done', 'outcome')

    def __init__(self, done: asyncio.Future[None]) -> None:
        """Wait for the first frame of the answer; ``done`` ends the call."""
        # A future of the loop costs a fraction of an event.
        self.done = done
        self.assembly: BodyAssembly | None = None
        self.outcome: Outcome | None = None

    def finish(self, outcome: Outcome) -> None:
        """Wake the caller with the outcome."""
        self.outcome = outcome
        self.wake()

    def wake(self) -> None:
        """Wake the caller, with an outcome or without."""
        if not self.done.done():
            self.done.set_result(None)


class PendingCalls:
    """Matches frames to calls by stream number.

    A number is used once in a connection's life, so that a late frame finds
    no call and never reaches another caller.
    """

    __slots__ = ('_calls', '_on_load', '_stream_ids')

    def __init__(self, *, on_load: Callable[[TargetLoad], None]) -> None:
        """Pass load reports, but for those in answers, to ``on_load``.

        Those in answers travel with the outcome.
        """
        self._calls: dict[int, PendingCall] = {}
        self._stream_ids = itertools.count(1)
        self._on_load = on_load

    def __len__(self) -> int:
        """Return the number of calls that await an answer."""
        return len(self._calls)

    def open(self, done: asyncio.Future[None]) -> tuple[int, PendingCall]:
        """Return a fresh stream number and its pending call."""
        stream = next(self._stream_ids)
        pending = PendingCall(done)
        self._calls[stream] = pending
        return stream, pending

    def close(self, stream: int) -> None:
        """Forget a call; frames that still arrive for it are dropped."""
        self._calls.pop(stream, None)

    def handle_frame(self, frame: Message) -> bool:
        """Take a frame; return False if it concerns no call and no load.

        Raises:
            FrameError: the frame contradicts itself or those before it.
        """
        if frame.answer is not None:
            self.start_response(frame.answer)
            return True
        if frame.chunk is not None:
            self.add_chunk(frame.chunk)
            return True
        if frame.refused is not None:
            self.handle_refusal(frame.refused)
            return True
        if frame.load_push is None:
            return False
        self._on_load(decode_load_push(frame.load_push))
        return True

    def start_response(self, start: Message) -> None:
        """Take the opening frame of an answer.

        Raises:
            FrameError: the announced or actual length is wrong.
        """
        pending = self._calls.get(start.stream)
        if pending is None:
            return
        body = complete_body(start)
        if body is None:
            pending.assembly = BodyAssembly(start=start)
        else:
            pending.finish(Answered(decode_response(start, body)))

    def add_chunk(self, chunk: Message) -> None:
        """Take one more chunk of an answer.

        Raises:
            FrameError: the body does not have the announced length.
        """
        pending = self._calls.get(chunk.stream)
        if pending is None or pending.assembly is None:
            return
        assembly = pending.assembly
        if assembly.add(chunk):
            response = decode_response(assembly.start, assembly.joined_body())
            pending.finish(Answered(response))

    def handle_refusal(self, refused: Message) -> None:
        """Take a refusal.

        Raises:
            FrameError: its reason is unknown.
        """
        load = decode_refusal_load(refused)
        if load is not None:
            self._on_load(load)
        pending = self._calls.get(refused.stream)
        if pending is not None:
            pending.finish(Error(decode_refusal(refused)))

    def fail_all(self) -> None:
        """End all calls: their requests were sent, their answers are lost."""
        for pending in self._calls.values():
            if pending.outcome is None:
                lost = MayHaveRun(reason=Reason.CONNECTION_LOST)
                pending.finish(Error(lost))
