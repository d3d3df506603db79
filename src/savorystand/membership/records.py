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
        '_dead',
        '_observers',
        '_live_peers',
        '_pools',
        '_records',
        'digests',
        'local',
    )

    def __init__(self, *, clock: Clock, local: Member) -> None:
        """Create the records with ``own``, the record of this node."""
        self._clock = clock
        self._records: dict[str, Member] = {}
        self._addresses: dict[tuple[str, int], str] = {}
        # Monotonic time of death in milliseconds, in order of death.
        self._dead: dict[str, float] = {}
        self._pools = PoolIndex()
        # Cached until the next change: most datagrams are sent between two.
        self._live_peers: list[Member] | None = None
        self._observers: list[ChangeObserver] = []
        self.digests = BucketDigests()
        self.local = local
        self.put(local)

    def __len__(self) -> int:
        """Return the number of records, dead members included."""
        return len(self._records)

    def lookup(self, node_id: str) -> Member | None:
        """Return the record of that node id, whatever its state."""
        return self._records.get(node_id)

    def all_members(self) -> Iterable[Member]:
        """Return all records, dead members and this node included."""
        return self._records.values()

    def live_peers(self) -> list[Member]:
        """Return the other members that are not dead; do not modify it."""
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

    def at(self, host: str, port: int) -> Member | None:
        """Return the latest member known at an address."""
        return self._records.get(self._addresses.get((host, port), ''))

    def unreplaced_dead(self) -> list[Member]:
        """Return the dead members whose address no later process uses."""
        records = (self._records[node_id] for node_id in self._dead)
        return [
            member
            for member in records
            if self.at(member.peer.host, member.peer.port) is member
        ]

    def add_observer(self, observer: ChangeObserver) -> None:
        """Pass each record that was added or changed to ``observer``."""
        self._observers.append(observer)

    def put(self, member: Member) -> None:
        """Add a record or replace the one of the same node id."""
        node_id = member.peer.node_id
        self._store(member)
        if member.state is MemberState.DEAD:
            self._dead.setdefault(node_id, self._clock.now())
        else:
            self._dead.pop(node_id, None)
            self._addresses[member.peer.host, member.peer.port] = node_id
        for observer in self._observers:
            observer(member)

    def record_revision(self, node_id: str, revision: int) -> None:
        """Record the table revision that a member has.

        A revision does not raise the version of the record: with 2,500 table
        changes a day, each member would otherwise send as many updates.
        """
        known = self._records.get(node_id)
        if known is not None and known.revision < revision:
            self._store(replace(known, revision=revision))

    def forget_old(self) -> list[Member]:
        """Remove and return members dead for ``DEAD_RETENTION_MS``."""
        end_ms = self._clock.now() - DEAD_RETENTION_MS
        old = []
        for node_id, dead_ms in self._dead.items():
            if dead_ms > end_ms:
                break
            old.append(self._records[node_id])
        for member in old:
            self._forget(member)
        return old

    def _store(self, member: Member) -> None:
        node_id = member.peer.node_id
        known = self._records.get(node_id)
        if known is not None:
            self.digests.toggle(known)
            revision = max(known.revision, member.revision)
            # Keeps one address object per member instead of one per message.
            member = replace(member, peer=known.peer, revision=revision)
        self.digests.toggle(member)
        self._records[node_id] = member
        if node_id == self.local.peer.node_id:
            self.local = member
        self._live_peers = None
        self._pools.replace(known, member)

    def _forget(self, member: Member) -> None:
        node_id = member.peer.node_id
        del self._dead[node_id]
        del self._records[node_id]
        self._pools.replace(member, None)
        address = (member.peer.host, member.peer.port)
        if self._addresses.get(address) == node_id:
            del self._addresses[address]
