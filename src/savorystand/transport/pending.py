"""Calls on one connection that wait for a response."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from expression import Error

from savorystand.call import Answered
from savorystand.call import is_final_status
from savorystand.memory.errors import MemoryShortError
from savorystand.transport.assembly import BodyAssembly
from savorystand.transport.assembly import complete_body
from savorystand.transport.conversion import decode_refusal
from savorystand.transport.conversion import decode_response
from savorystand.transport.loads import decode_load_push
from savorystand.transport.loads import decode_refusal_load
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.errors import CallError
from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.memory.account import MemoryAccount
    from savorystand.wire.codec import Message


class PendingCall:
    """A call whose response has not arrived completely."""

    __slots__ = ('assembly', 'begun', 'done', 'given_up', 'outcome', 'sent')

    def __init__(self, done: asyncio.Future[None]) -> None:
        """Create a call without a response; its caller awaits ``done``."""
        # A future costs a fraction of an anyio event.
        self.done = done
        self.assembly: BodyAssembly | None = None
        # True once the peer has sent anything but a refusal for the call.
        self.begun = False
        # True once the peer may receive the call.
        self.sent = False
        # True once this node does not want the response any more.
        self.given_up = False
        self.outcome: Outcome | None = None

    def finish(self, outcome: Outcome) -> None:
        """Store the outcome and wake the caller; the first outcome counts."""
        if self.outcome is None:
            self.outcome = outcome
        self.wake()

    def drop_response(self) -> None:
        """Finish without the response, for which there is no memory."""
        self.give_up(Reason.CANCELLED, 'no memory for the response')

    def give_up(self, reason: Reason, detail: str) -> None:
        """Finish although the peer may send more of the response."""
        self.given_up = True
        self.finish(Error(MayHaveRun(reason=reason, detail=detail)))

    def close_assembly(self) -> None:
        """Let go of an incomplete response."""
        if self.assembly is not None:
            self.assembly.close()
            self.assembly = None

    def wake(self) -> None:
        """Wake the caller, whether or not there is an outcome."""
        if not self.done.done():
            self.done.set_result(None)


class PendingCalls:
    """Assigns incoming frames to calls by their stream id.

    A connection uses each id only once, so that a late frame matches no call
    and never reaches another caller.
    """

    __slots__ = ('_account', '_calls', '_on_load', '_stream_ids')

    def __init__(
        self,
        *,
        on_load: Callable[[TargetLoad], None],
        account: MemoryAccount,
    ) -> None:
        """Create an empty set of calls.

        ``on_load`` gets the load reports of pushes and refusals. A response
        carries its load report in the outcome. Long bodies count towards
        ``account``.
        """
        self._account = account
        self._calls: dict[int, PendingCall] = {}
        self._stream_ids = itertools.count(1)
        self._on_load = on_load

    def __len__(self) -> int:
        """Return the number of calls that wait for a response."""
        return len(self._calls)

    def open(self, done: asyncio.Future[None]) -> tuple[int, PendingCall]:
        """Add a pending call and return its new stream id and the call."""
        stream_id = next(self._stream_ids)
        pending = PendingCall(done)
        self._calls[stream_id] = pending
        return stream_id, pending

    def close(self, stream_id: int) -> None:
        """Remove a call; frames that still arrive for it are dropped."""
        pending = self._calls.pop(stream_id, None)
        if pending is not None:
            pending.close_assembly()

    def handle_frame(self, frame: Message) -> bool:
        """Process a frame of a call or a load report; return False for others.

        Raises:
            FrameError: the frame is a refusal and something else at once.
        """
        if frame.refused is not None:
            _check_sole_member(frame)
            self.handle_refusal(frame.refused)
            return True
        part = frame.answer or frame.chunk
        if part is not None:
            self._handle_response(frame, part.stream)
            return True
        if frame.load_push is None:
            self._mark_begun(frame)
            return False
        self._on_load(decode_load_push(frame.load_push))
        return True

    def handle_refusal(self, refused: Message) -> None:
        """Process a refusal."""
        load = decode_refusal_load(refused)
        if load is not None:
            self._on_load(load)
        pending = self._calls.get(refused.stream)
        if pending is None:
            return
        try:
            refusal = decode_refusal(refused)
        except CallError as exc:
            refusal = MayHaveRun(reason=Reason.TARGET_FAILED, detail=str(exc))
        if pending.begun:
            # The target runs once its response begins, whatever the peer says.
            refusal = MayHaveRun(
                reason=Reason.TARGET_FAILED,
                detail='the peer refused the call after its response began',
            )
        pending.finish(Error(refusal))

    def fail_all(self) -> None:
        """Finish all calls: the connection is lost.

        The peer may have run those that were sent.
        """
        for pending in self._calls.values():
            if pending.outcome is None:
                verdict = MayHaveRun if pending.sent else NotRun
                lost = verdict(reason=Reason.CONNECTION_LOST)
                pending.finish(Error(lost))

    def _handle_response(self, frame: Message, stream_id: int) -> None:
        pending = self._calls.get(stream_id)
        if pending is None:
            return
        pending.begun = True
        try:
            if frame.answer is None:
                _add_chunk(pending, frame.chunk)
            else:
                self._start_response(pending, frame.answer)
        except CallError as exc:
            pending.close_assembly()
            pending.give_up(
                Reason.TARGET_FAILED, f'invalid response of the peer: {exc}'
            )

    def _start_response(self, pending: PendingCall, start: Message) -> None:
        if not is_final_status(start.status):
            detail = f'the peer passed on the invalid status {start.status}'
            pending.give_up(Reason.TARGET_FAILED, detail)
            return
        body = complete_body(start)
        if body is not None:
            pending.finish(Answered(decode_response(start, body)))
            return
        try:
            pending.assembly = BodyAssembly(
                start=start,
                account=self._account,
                on_drop=pending.drop_response,
            )
        except MemoryShortError:
            pending.drop_response()

    def _mark_begun(self, frame: Message) -> None:
        # A peer that calls or cancels on a stream of this end is faulty, and
        # its refusals of that stream are not believed.
        for member in (frame.call, frame.cancel):
            pending = member and self._calls.get(member.stream)
            if pending is not None:
                pending.begun = True


def _add_chunk(pending: PendingCall, chunk: Message) -> None:
    assembly = pending.assembly
    if assembly is None or pending.given_up:
        return
    if assembly.add(chunk):
        response = decode_response(assembly.start, assembly.joined_body())
        pending.finish(Answered(response))


def _check_sole_member(frame: Message) -> None:
    # The decoder accepts a union with more than one member.
    others = (frame.call, frame.answer, frame.chunk, frame.cancel)
    if any(member is not None for member in others):
        raise FrameError('refusal in a frame with another member')
