"""The rule that merges member records."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.records import MemberRecords

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorystand.clock import Clock

SUSPICION_TIMEOUT_MS = 3000
# Bound on memory; four times the target size.
MAX_MEMBERS = 32768


class MemberList:
    """Records by node id; the higher version wins, then the higher state.

    A death that others report is checked, not taken over: after a partition
    each side believes the other dead, and taking its word would empty every
    pool until all members have refuted it.
    """

    __slots__ = ('_clock', '_suspects', 'death_observers', 'records')

    def __init__(self, *, clock: Clock, own: Member) -> None:
        """Start with the record of this node only."""
        self._clock = clock
        # Monotonic time in milliseconds at which each suspicion ends.
        self._suspects: dict[str, float] = {}
        self.records = MemberRecords(clock=clock, own=own)
        # Called with the node id of a member that others believe dead.
        self.death_observers: list[Callable[[str], None]] = []

    def declare(self, *, state: MemberState, pool: str) -> None:
        """Change the record of this node; its version rises."""
        own = self.records.local
        version = own.version + 1
        self._put(replace(own, state=state, pool=pool, version=version))

    def merge(self, heard: Member) -> bool:
        """Take over a record if it is news; return True if it is.

        News about this node is refuted and counts as such.
        """
        if heard.peer.node_id == self.records.local.peer.node_id:
            return self._refute(heard)
        known = self.records.lookup(heard.peer.node_id)
        if known is None:
            return self._add(heard)
        if not _outranks(heard, known):
            return False
        if heard.state is MemberState.DEAD and known.state is not heard.state:
            self._report_death(known)
            return False
        if not self._supersede(heard):
            return False
        self._put(heard)
        return True

    def suspect(self, node_id: str) -> None:
        """Begin the suspicion of a member that did not answer."""
        known = self.records.lookup(node_id)
        if known is None or known is self.records.local:
            return
        if known.state is MemberState.DEAD or node_id in self._suspects:
            return
        if known.state < MemberState.SUSPECT:
            self._put(replace(known, state=MemberState.SUSPECT))
        else:
            # A leaving member stays known as leaving until it is dead.
            self._suspects[node_id] = self._clock.now() + SUSPICION_TIMEOUT_MS

    def vouch(self, node_id: str) -> None:
        """Note that a member was heard from.

        This ends the suspicion of a leaving member, which its record does not
        show, so that the member itself cannot refute it.
        """
        known = self.records.lookup(node_id)
        if known is not None and known.state is MemberState.LEAVING:
            self._suspects.pop(node_id, None)

    def leaving(self, node_id: str) -> None:
        """Record that a member has said itself that it is leaving."""
        known = self.records.lookup(node_id)
        if known is not None:
            self.merge(replace(known, state=MemberState.LEAVING))

    def expire(self) -> list[Member]:
        """Declare members dead whose suspicion has ended.

        Returns the members that have been dead for long and are forgotten.
        """
        now = self._clock.now()
        for node_id, end_ms in list(self._suspects.items()):
            known = self.records.lookup(node_id)
            if end_ms <= now and known is not None:
                self._put(replace(known, state=MemberState.DEAD))
        return self.records.forget_old()

    def extend_suspicions(self) -> None:
        """Start all suspicions anew, as this process was paused."""
        end_ms = self._clock.now() + SUSPICION_TIMEOUT_MS
        self._suspects = dict.fromkeys(self._suspects, end_ms)

    def _add(self, heard: Member) -> bool:
        if heard.state is MemberState.DEAD or len(self.records) >= MAX_MEMBERS:
            return False
        if not self._supersede(heard):
            return False
        self._put(heard)
        return True

    def _refute(self, heard: Member) -> bool:
        own = self.records.local
        if not _outranks(heard, own):
            return False
        self._put(replace(own, version=heard.version + 1))
        return True

    def _report_death(self, known: Member) -> None:
        for observer in self.death_observers:
            observer(known.peer.node_id)

    def _supersede(self, heard: Member) -> bool:
        """Return False if a later process has the address of this record."""
        other = self.records.at(heard.peer.host, heard.peer.port)
        if other is None or other.peer.node_id == heard.peer.node_id:
            return True
        if other.state is MemberState.DEAD:
            # Also if it started later: the wall clock may have been set back.
            return True
        if _later(other, heard):
            self._bury(heard)
            return False
        if other is self.records.local:
            # This process holds the address, so that the other one is gone,
            # although the wall clock has been set back since it started.
            started_ms = heard.started_ms + 1
            version = other.version + 1
            self._put(replace(other, started_ms=started_ms, version=version))
            return False
        self._put(replace(other, state=MemberState.DEAD))
        return True

    def _bury(self, heard: Member) -> None:
        known = self.records.lookup(heard.peer.node_id)
        if known is not None and known.state is not MemberState.DEAD:
            self._put(replace(heard, state=MemberState.DEAD))

    def _put(self, member: Member) -> None:
        node_id = member.peer.node_id
        self._suspects.pop(node_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspects[node_id] = self._clock.now() + SUSPICION_TIMEOUT_MS
        self.records.put(member)


def _outranks(heard: Member, known: Member) -> bool:
    return (heard.version, heard.state) > (known.version, known.state)


def _later(left: Member, right: Member) -> bool:
    left_rank = (left.started_ms, left.peer.node_id)
    return left_rank > (right.started_ms, right.peer.node_id)
