"""Selection of the peers for anti-entropy exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.membership.member import Member
    from savorystand.membership.records import MemberRecords
    from savorystand.transport.address import PeerAddress

# One exchange a second with the same peer is enough.
_MIN_INTERVAL_MS = 1000
# Bounds the connections opened at once after a partition has healed.
_MAX_WAITING = 8


class Contacts:
    """Queues new contacts and selects partners for regular exchanges."""

    __slots__ = (
        '_clock',
        '_prefer_other_domain',
        '_records',
        '_rng',
        '_recent',
        '_waiting',
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
        self._waiting: dict[PeerAddress, None] = {}

    def add(self, peer: PeerAddress) -> None:
        """Queue an exchange with a peer that was just heard from."""
        now = self._clock.now()
        for old, since_ms in list(self._recent.items()):
            if since_ms + _MIN_INTERVAL_MS > now:
                break
            del self._recent[old]
        if peer in self._recent or len(self._waiting) >= _MAX_WAITING:
            return
        self._recent[peer] = now
        self._waiting[peer] = None

    def take(self) -> list[PeerAddress]:
        """Remove and return the queued peers."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    def partner(self) -> PeerAddress | None:
        """Return a random member, alternating own and other domains."""
        local = self._records.local
        others = self._records.live_peers()
        self._prefer_other_domain = not self._prefer_other_domain
        fitting = [
            member
            for member in others
            if _in_other_domain(member, local) == self._prefer_other_domain
        ]
        candidates = fitting or others
        if not candidates:
            return None
        return self._rng.choice(candidates).peer


def _in_other_domain(member: Member, local: Member) -> bool:
    return member.failure_domain != local.failure_domain
