"""What the call path asks of the home of idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome


@runtime_checkable
class KeyedCalls(Protocol):
    """Runs requests under their keys; registered as ``keys``.

    Nodes without keys need not load what keeps them.
    """

    async def call(self, call: Call) -> Outcome:
        """Serve a request that entered at this node with a key."""

    async def serve_home(self, call: Call) -> Outcome:
        """Serve a request that a peer forwarded, as the home of its key."""
