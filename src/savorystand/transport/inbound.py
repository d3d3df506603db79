"""What the serving side of a connection asks of the node."""

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
        """Return the route of that name in the tables in force."""

    def load(self) -> TargetLoad:
        """Return the present load of the local target."""

    async def serve(self, call: Call) -> Outcome:
        """Serve a call; cancellation means that the caller is gone."""


@runtime_checkable
class ControlResponder(Protocol):
    """Answers control frames: tables and membership."""

    def answer(self, frame: Message) -> Message | None:
        """Return the reply to a control frame, if it has one."""
