"""Interface through which other services make calls to peers."""

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
        """Make a call to a peer and return its outcome.

        If no connection to the peer can be established, the outcome is
        ``NotRun`` with the reason ``CONNECTION_LOST``. Peers themselves never
        return this combination.
        """
