"""Members to reconcile with at once, and partners for anti-entropy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.membership.member import Member
    from savorystand.membership.records import MemberRecords
    from savorystand.transport.address import PeerAddress

# One exchange a second with the same peer is enough.
_REPEAT_MS = 1000
# Bound on connections opened after a partition has healed.
_MAX_WAITING = 8


class Contacts:
    """Chooses with whom to reconcile."""

    __slots__ = ('_clock', '_far', '_records', '_rng', '_recent', '_waiting')

    def __init__(
        self,
        *,
        records: MemberRecords,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Choose among ``records``."""
        self._records = records
        self._clock = clock
        self._rng = rng
        self._far = False
        self._recent: dict[PeerAddress, float] = {}
        self._waiting: dict[PeerAddress, None] = {}

    def add(self, peer: PeerAddress) -> None:
        """Ask for an exchange with a peer that has just been heard from."""
        now = self._clock.now()
        for old, since_ms in list(self._recent.items()):
            if since_ms + _REPEAT_MS > now:
                break
            del self._recent[old]
        if peer in self._recent or len(self._waiting) >= _MAX_WAITING:
            return
        self._recent[peer] = now
        self._waiting[peer] = None

    def take(self) -> list[PeerAddress]:
        """Return the peers to reconcile with now."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    def partner(self) -> PeerAddress | None:
        """Return a random member, every other time of another domain."""
        own = self._records.local
        others = self._records.others()
        self._far = not self._far
        fitting = [
            member for member in others if _far(member, own) == self._far
        ]
        candidates = fitting or others
        if not candidates:
            return None
        return self._rng.choice(candidates).peer


def _far(member: Member, own: Member) -> bool:
    return member.failure_domain != own.failure_domain
