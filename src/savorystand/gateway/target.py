"""Interface of the client of the local target."""

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
        """Send a call to the target and return its outcome.

        ``execution_id`` identifies the execution to the target.
        """
