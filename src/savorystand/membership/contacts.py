"""Selection of the peers for anti-entropy exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.membership.member import Member
    from savorystand.membership.records import MemberRecords
    from savorystand.transport.address import PeerAddress

# One queued exchange a second with the same peer is enough.
_MIN_INTERVAL_MS = 1000
# Bounds the connections opened at once after a partition has healed.
_MAX_QUEUED = 8


class Contacts:
    """Queues new contacts and selects partners for regular exchanges."""

    __slots__ = (
        '_clock',
        '_prefer_other_domain',
        '_records',
        '_rng',
        '_recent',
        '_queued',
    )

    def __init__(
        self,
        *,
        records: MemberRecords,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Select partners from ``records``."""
        self._records = records
        self._clock = clock
        self._rng = rng
        self._prefer_other_domain = False
        self._recent: dict[PeerAddress, float] = {}
        self._queued: dict[PeerAddress, None] = {}

    def add(self, peer: PeerAddress) -> None:
        """Queue an exchange with a peer.

        It is dropped if the queue is full or an exchange with the same peer
        was queued less than ``_MIN_INTERVAL_MS`` ago.
        """
        now = self._clock.now()
        for queued_peer, queued_ms in list(self._recent.items()):
            if queued_ms + _MIN_INTERVAL_MS > now:
                break
            del self._recent[queued_peer]
        if peer in self._recent or len(self._queued) >= _MAX_QUEUED:
            return
        self._recent[peer] = now
        self._queued[peer] = None

    def take(self) -> list[PeerAddress]:
        """Remove and return the queued peers."""
        queued = list(self._queued)
        self._queued.clear()
        return queued

    def partner(self) -> PeerAddress | None:
        """Return a random live peer, or None if there is none.

        Peers of the same and of other failure domains are preferred in turn.
        """
        local = self._records.local
        live_peers = self._records.live_peers()
        self._prefer_other_domain = not self._prefer_other_domain
        preferred = [
            member
            for member in live_peers
            if _in_other_domain(member, local) == self._prefer_other_domain
        ]
        candidates = preferred or live_peers
        if not candidates:
            return None
        return self._rng.choice(candidates).peer


def _in_other_domain(member: Member, local: Member) -> bool:
    return member.failure_domain != local.failure_domain
