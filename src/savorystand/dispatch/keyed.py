"""Interface of the service that runs calls with idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome


@runtime_checkable
class KeyedCalls(Protocol):
    """Runs each keyed request at most once; registered as ``keys``.

    The home of a key is the only node that runs requests with it. The protocol
    lets nodes that serve no keyed calls skip loading the implementation.
    """

    async def call(self, call: Call) -> Outcome:
        """Serve a keyed request that a caller sent to this node."""

    async def serve_home(self, call: Call) -> Outcome:
        """Serve a request that a peer forwarded to the home of its key."""
