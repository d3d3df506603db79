"""Protocols of membership that other services use."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import runtime_checkable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.membership.member import Member
    from savorystand.transport.address import PeerAddress


@runtime_checkable
class MemberDirectory(Protocol):
    """Gives access to the known members and announces this node."""

    def local_member(self) -> Member:
        """Return the record of this node."""

    def serving(self, pool: str) -> list[Member]:
        """Return the members of a pool that may get new work."""

    def lookup(self, node_id: str) -> Member | None:
        """Return the member with that node id, in any state, or None."""

    def members(self) -> Iterable[Member]:
        """Return all known members."""

    def announce(self, pool: str) -> None:
        """Announce that the local target serves ``pool``."""

    def leave(self) -> None:
        """Announce that the local target accepts no new work."""


@runtime_checkable
class FailureObserver(Protocol):
    """Observes failed connections to peers."""

    def observe_failure(self, peer: PeerAddress) -> None:
        """Handle a failed connection to ``peer``."""
