"""Interfaces through which peer connections pass frames to the node."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.tables.route import Route
    from savorystand.wire.codec import Message


@runtime_checkable
class InboundHandler(Protocol):
    """Serves calls that peers send to this node."""

    def route(self, name: str) -> Route | None:
        """Return the route of that name in the current tables, if any."""

    def load(self) -> TargetLoad:
        """Return the current load of the local target."""

    async def serve(self, call: Call) -> Outcome:
        """Serve a call.

        The task is cancelled when the caller cancels or disconnects.
        """


@runtime_checkable
class ControlResponder(Protocol):
    """Answers control frames about tables and membership."""

    def answer(self, frame: Message) -> Message | None:
        """Return the frame to send in response to a control frame, if any."""
