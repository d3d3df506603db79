"""What other services ask of the transport."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.transport.address import PeerAddress


@runtime_checkable
class PeerClient(Protocol):
    """Makes calls to peers."""

    async def call(self, peer: PeerAddress, call: Call) -> Outcome:
        """Make a call to a peer.

        A failure to reach it at all is ``NotRun`` with the reason
        ``CONNECTION_LOST``, which no peer returns itself.
        """
