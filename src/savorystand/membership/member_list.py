"""Member list with the rules for merging records and for suspicion."""

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
# Bounds memory; four times the intended number of members.
MAX_MEMBERS = 32768


class MemberList:
    """Records by node id; the higher version wins, then the higher state.

    A death reported by another member is checked with a probe, not accepted:
    after a partition each side believes the other dead, and accepting that
    would empty every pool until all members have refuted it.
    """

    __slots__ = ('_clock', '_suspicion_ends_ms', 'death_observers', 'records')

    def __init__(self, *, clock: Clock, local: Member) -> None:
        """Create the list with ``local``, the record of this node."""
        self._clock = clock
        # Monotonic time in milliseconds at which each suspicion ends.
        self._suspicion_ends_ms: dict[str, float] = {}
        self.records = MemberRecords(clock=clock, local=local)
        # Called with the node id of a member that others believe dead.
        self.death_observers: list[Callable[[str], None]] = []

    def declare(self, *, state: MemberState, pool: str) -> None:
        """Set state and pool of this node and increment its version."""
        local = self.records.local
        version = local.version + 1
        self._put(replace(local, state=state, pool=pool, version=version))

    def merge(self, received: Member) -> bool:
        """Merge a received record; return True if it was newer.

        A newer record of this node is refuted, which also returns True.
        """
        if received.peer.node_id == self.records.local.peer.node_id:
            return self._refute(received)
        current = self.records.lookup(received.peer.node_id)
        if current is None:
            return self._add(received)
        if not _is_newer(received, current):
            return False
        if (
            received.state is MemberState.DEAD
            and current.state is not received.state
        ):
            self._report_death(current)
            return False
        if not self._resolve_address(received):
            return False
        self._put(received)
        return True

    def suspect(self, node_id: str) -> None:
        """Start the suspicion of a member that acknowledged no probe.

        Nothing changes if it is suspected or dead already.
        """
        current = self.records.lookup(node_id)
        if current is None or current is self.records.local:
            return
        if (
            current.state is MemberState.DEAD
            or node_id in self._suspicion_ends_ms
        ):
            return
        if current.state < MemberState.SUSPECT:
            self._put(replace(current, state=MemberState.SUSPECT))
        else:
            # A leaving member keeps that state until it is declared dead.
            self._suspicion_ends_ms[node_id] = (
                self._clock.now() + SUSPICION_TIMEOUT_MS
            )

    def record_contact(self, node_id: str) -> None:
        """Record that a datagram from a member was received.

        This ends the suspicion of a leaving member. Its record does not show
        the suspicion, so that the member cannot refute it.
        """
        current = self.records.lookup(node_id)
        if current is not None and current.state is MemberState.LEAVING:
            self._suspicion_ends_ms.pop(node_id, None)

    def mark_leaving(self, node_id: str) -> None:
        """Record that a member itself has announced that it is leaving.

        The version of its record does not change.
        """
        current = self.records.lookup(node_id)
        if current is not None:
            self.merge(replace(current, state=MemberState.LEAVING))

    def expire(self) -> list[Member]:
        """Declare members dead whose suspicion has timed out.

        Remove and return the members that have been dead for
        ``DEAD_RETENTION_MS``.
        """
        now = self._clock.now()
        for node_id, end_ms in list(self._suspicion_ends_ms.items()):
            current = self.records.lookup(node_id)
            if end_ms <= now and current is not None:
                self._put(replace(current, state=MemberState.DEAD))
        return self.records.remove_expired()

    def extend_suspicions(self) -> None:
        """Restart the timeout of all suspicions, as after a pause."""
        end_ms = self._clock.now() + SUSPICION_TIMEOUT_MS
        self._suspicion_ends_ms = dict.fromkeys(self._suspicion_ends_ms, end_ms)

    def _add(self, received: Member) -> bool:
        if (
            received.state is MemberState.DEAD
            or len(self.records) >= MAX_MEMBERS
        ):
            return False
        if not self._resolve_address(received):
            return False
        self._put(received)
        return True

    def _refute(self, received: Member) -> bool:
        local = self.records.local
        if not _is_newer(received, local):
            return False
        self._put(replace(local, version=received.version + 1))
        return True

    def _report_death(self, member: Member) -> None:
        for observer in self.death_observers:
            observer(member.peer.node_id)

    def _resolve_address(self, received: Member) -> bool:
        """Resolve a conflict with another record of the same address.

        Return False if a later process uses the address of ``received``.
        """
        other = self.records.lookup_address(
            received.peer.host, received.peer.port
        )
        if other is None or other.peer.node_id == received.peer.node_id:
            return True
        if other.state is MemberState.DEAD:
            # Even if it started later: the wall clock may have been set back.
            return True
        if _started_later(other, received):
            self._mark_dead(received)
            return False
        if other is self.records.local:
            # This process has bound the address, so the other one has ended,
            # although its start time is later: the wall clock has been set
            # back since.
            started_ms = received.started_ms + 1
            version = other.version + 1
            self._put(replace(other, started_ms=started_ms, version=version))
            return False
        self._put(replace(other, state=MemberState.DEAD))
        return True

    def _mark_dead(self, received: Member) -> None:
        current = self.records.lookup(received.peer.node_id)
        if current is not None and current.state is not MemberState.DEAD:
            self._put(replace(received, state=MemberState.DEAD))

    def _put(self, member: Member) -> None:
        node_id = member.peer.node_id
        self._suspicion_ends_ms.pop(node_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspicion_ends_ms[node_id] = (
                self._clock.now() + SUSPICION_TIMEOUT_MS
            )
        self.records.put(member)


def _is_newer(received: Member, current: Member) -> bool:
    return (received.version, received.state) > (current.version, current.state)


def _started_later(left: Member, right: Member) -> bool:
    left_rank = (left.started_ms, left.peer.node_id)
    return left_rank > (right.started_ms, right.peer.node_id)
