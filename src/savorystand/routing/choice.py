"""The target chosen for one attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.routing.pool_view import Target
    from savorystand.transport.address import PeerAddress


@final
@dataclass(slots=True, kw_only=True)
class Choice:
    """The target chosen for one attempt.

    ``reason`` explains the choice in logs and decision records. ``target``
    holds the router's statistics of the peer, if known.
    """

    peer: PeerAddress
    reason: str
    target: Target | None = None

    def is_rate_paused(self, now: float) -> bool:
        """Return True if the target would probably refuse by its rate limit."""
        target = self.target
        return target is not None and target.stats.rate_pause.is_active(now)
