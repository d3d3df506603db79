"""Remembers what targets said about themselves, by address."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.target_notice import TargetHint

if TYPE_CHECKING:
    from savorystand.call import TargetLoad
    from savorystand.target_notice import Incarnation
    from savorystand.transport.address import PeerAddress

_Address: TypeAlias = tuple[str, int]

# A node restarts within seconds, and its target may have ended the limit since.
_RATE_LIFETIME_MS = 10000
# A target that leaves may serve for many seconds, and announcements of it may
# arrive late.
_LEFT_LIFETIME_MS = 120000
_MAX_ADDRESSES = 1000


@final
@dataclass(slots=True, kw_only=True)
class _Entry:
    rate_limit: float | None = None
    rate_node: str = ''
    rate_reported_ms: float = -math.inf
    left: Incarnation | None = None
    left_node: str = ''
    left_reported_ms: float = -math.inf


@final
class TargetMemory:
    """Rate limits and departures by the address of the target's node.

    A node that restarts beside a running target has forgotten both. Its
    callers tell it with their calls, until it reports them itself.
    """

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: dict[_Address, _Entry] = {}

    def record(self, peer: PeerAddress, load: TargetLoad, now: float) -> None:
        """Record the load report of a peer."""
        entry = self._entries.get(_address(peer))
        if entry is None:
            if load.rate_limit is None and load.leaving is None:
                return
            entry = self._add(peer)
        entry.rate_limit = load.rate_limit
        entry.rate_node = peer.node_id
        entry.rate_reported_ms = now
        if load.leaving is not None:
            entry.left = load.leaving
            entry.left_node = peer.node_id
            entry.left_reported_ms = now

    def hint(self, peer: PeerAddress, now: float) -> TargetHint | None:
        """Return what another process at the address of a peer has reported.

        None if there is nothing that the peer has to be told.
        """
        entry = self._entries.get(_address(peer))
        if entry is None:
            return None
        rate_limit: float | None = None
        left: Incarnation | None = None
        if (
            entry.rate_node != peer.node_id
            and now - entry.rate_reported_ms < _RATE_LIFETIME_MS
        ):
            rate_limit = entry.rate_limit
        if (
            entry.left_node != peer.node_id
            and now - entry.left_reported_ms < _LEFT_LIFETIME_MS
        ):
            left = entry.left
        if rate_limit is None and left is None:
            return None
        return TargetHint(rate_limit=rate_limit, left=left)

    def _add(self, peer: PeerAddress) -> _Entry:
        if len(self._entries) >= _MAX_ADDRESSES:
            oldest = next(iter(self._entries))
            del self._entries[oldest]
        entry = _Entry()
        self._entries[_address(peer)] = entry
        return entry


def _address(peer: PeerAddress) -> _Address:
    return peer.host, peer.port
