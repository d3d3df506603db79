"""The member records of one node and their indexes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeAlias

from savorystand.membership.buckets import BucketDigests
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.pool_index import PoolIndex

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.clock import Clock

ChangeObserver: TypeAlias = Callable[[Member], None]

# Partitions between regions can last an hour. Dead members are kept, and
# their addresses retried, for longer than that.
DEAD_RETENTION_MS = 7200000


class MemberRecords:
    """Records by node id, with indexes by pool, address and bucket."""

    __slots__ = (
        '_addresses',
        '_clock',
        '_dead_since_ms',
        '_observers',
        '_live_peers',
        '_pools',
        '_records',
        'digests',
        'local',
    )

    def __init__(self, *, clock: Clock, local: Member) -> None:
        """Create the records with ``local``, the record of this node."""
        self._clock = clock
        self._records: dict[str, Member] = {}
        self._addresses: dict[tuple[str, int], str] = {}
        # Monotonic time in milliseconds at which each dead member was recorded
        # as dead, in that order.
        self._dead_since_ms: dict[str, float] = {}
        self._pools = PoolIndex()
        # Cached until the next change of a record: most datagrams are sent
        # without a change since the one before.
        self._live_peers: list[Member] | None = None
        self._observers: list[ChangeObserver] = []
        self.digests = BucketDigests()
        self.local = local
        self.put(local)

    def __len__(self) -> int:
        """Return the number of records, dead members included."""
        return len(self._records)

    def lookup(self, node_id: str) -> Member | None:
        """Return the record with that node id, in any state, or None."""
        return self._records.get(node_id)

    def all_members(self) -> Iterable[Member]:
        """Return all records, dead members and this node included."""
        return self._records.values()

    def live_peers(self) -> list[Member]:
        """Return the other members that are not dead.

        Do not modify the list.
        """
        if self._live_peers is None:
            self._live_peers = [
                member
                for member in self._records.values()
                if member is not self.local
                and member.state is not MemberState.DEAD
            ]
        return self._live_peers

    def serving(self, pool: str) -> list[Member]:
        """Return the members of a pool that may get new work."""
        return self._pools.serving(pool)

    def lookup_address(self, host: str, port: int) -> Member | None:
        """Return the last member recorded alive at an address, or None."""
        return self._records.get(self._addresses.get((host, port), ''))

    def unreplaced_dead(self) -> list[Member]:
        """Return the dead members whose address no later process uses."""
        records = (self._records[node_id] for node_id in self._dead_since_ms)
        return [
            member
            for member in records
            if self.lookup_address(member.peer.host, member.peer.port) is member
        ]

    def add_observer(self, observer: ChangeObserver) -> None:
        """Pass each record that was added or changed to ``observer``."""
        self._observers.append(observer)

    def put(self, member: Member) -> None:
        """Add a record or replace the one of the same node id."""
        node_id = member.peer.node_id
        self._store(member)
        if member.state is MemberState.DEAD:
            self._dead_since_ms.setdefault(node_id, self._clock.now())
        else:
            self._dead_since_ms.pop(node_id, None)
            self._addresses[member.peer.host, member.peer.port] = node_id
        for observer in self._observers:
            observer(member)

    def record_revision(self, node_id: str, revision: int) -> None:
        """Record the table revision that a member has.

        A revision does not raise the version of the record: 2,500 table changes
        a day would otherwise cause as many updates of each member.
        """
        previous = self._records.get(node_id)
        if previous is not None and previous.revision < revision:
            self._store(replace(previous, revision=revision))

    def remove_expired(self) -> list[Member]:
        """Remove and return the members dead for ``DEAD_RETENTION_MS``."""
        max_since_ms = self._clock.now() - DEAD_RETENTION_MS
        expired = []
        for node_id, since_ms in self._dead_since_ms.items():
            if since_ms > max_since_ms:
                break
            expired.append(self._records[node_id])
        for member in expired:
            self._remove(member)
        return expired

    def _store(self, member: Member) -> None:
        node_id = member.peer.node_id
        previous = self._records.get(node_id)
        if previous is not None:
            self.digests.toggle(previous)
            revision = max(previous.revision, member.revision)
            # Keeps one address object for each member instead of one for each
            # message.
            member = replace(member, peer=previous.peer, revision=revision)
        self.digests.toggle(member)
        self._records[node_id] = member
        if node_id == self.local.peer.node_id:
            self.local = member
        self._live_peers = None
        self._pools.replace(previous, member)

    def _remove(self, member: Member) -> None:
        node_id = member.peer.node_id
        del self._dead_since_ms[node_id]
        del self._records[node_id]
        self._pools.replace(member, None)
        address = (member.peer.host, member.peer.port)
        if self._addresses.get(address) == node_id:
            del self._addresses[address]
