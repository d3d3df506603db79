"""What other services ask of the connection to the local target."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome


@runtime_checkable
class TargetSender(Protocol):
    """Sends calls to the local target."""

    async def send(self, call: Call, execution_id: str) -> Outcome:
        """Run a call at the target, as the execution of that id."""
