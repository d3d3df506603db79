"""Simulated membership with late, lost and false updates."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from savorystand.transport.address import PeerAddress
    from savorystand.wire.codec import Message

_MAX_DELIVERY_DELAY_MS = 600
_LOSS_PROBABILITY = 0.2
_SUSPECT_PROBABILITY = 0.5
_EXCHANGE_INTERVAL_MS = 2500


class MemberView:
    """The member records that one node knows."""

    def __init__(self, *, local: Member) -> None:
        """Start with the record of the local member only."""
        self._local = local
        self._remote: dict[str, Member] = {}

    def local_member(self) -> Member:
        """Return the record of this node."""
        return self._local

    def serving(self, pool: str) -> list[Member]:
        """Return the members of a pool that may get new work."""
        return [
            member
            for member in self.members()
            if member.pool == pool and member.state == MemberState.SERVING
        ]

    def lookup(self, node_id: str) -> Member | None:
        """Return the member with ``node_id`` in any state, None if unknown."""
        if node_id == self._local.peer.node_id:
            return self._local
        return self._remote.get(node_id)

    def members(self) -> Iterable[Member]:
        """Return all known members, the local one first."""
        return [self._local, *self._remote.values()]

    def suspect(self, node_id: str) -> None:
        """Mark a member as dead until it sends a newer record."""
        member = self._remote.get(node_id)
        if member is not None:
            self._remote[node_id] = replace(member, state=MemberState.DEAD)

    def merge(self, member: Member) -> None:
        """Merge a record; the higher version wins, then the higher state."""
        node_id = member.peer.node_id
        known = self._remote.get(node_id)
        if known is None or _precedence(member) > _precedence(known):
            self._remote[node_id] = member


@final
class FuzzDirectory(MemberView):
    """Stands in for the membership service of one node.

    Updates travel only between hosts for which ``is_reachable`` returns True.
    A lost update arrives with a later exchange, unless the receiving directory
    ignores updates.
    """

    def __init__(
        self,
        *,
        local: Member,
        rng: random.Random,
        directories: dict[str, FuzzDirectory],
        is_reachable: Callable[[str, str], bool],
        tasks: TaskGroup,
    ) -> None:
        """Exchange records with ``directories``, all live ones by host."""
        super().__init__(local=local)
        self._rng = rng
        self._directories = directories
        self._is_reachable = is_reachable
        self._tasks = tasks
        self._observers: list[Callable[[int, PeerAddress], None]] = []
        self._responder: Callable[[Message], Message | None] | None = None
        # While True, received records are dropped and the view stays stale.
        self.ignores_updates = False

    async def run(self) -> None:
        """Send all records to the other directories at a fixed interval."""
        while True:
            self.disseminate()
            await anyio.sleep(_EXCHANGE_INTERVAL_MS / MS_PER_SECOND)

    def announce(self, pool: str) -> None:
        """Disseminate that the local target serves ``pool`` from now on."""
        self._update_local(
            replace(self._local, state=MemberState.SERVING, pool=pool)
        )

    def leave(self) -> None:
        """Disseminate that the local target takes no new work from now on."""
        self._update_local(replace(self._local, state=MemberState.LEAVING))

    def observe_failure(self, peer: PeerAddress) -> None:
        """Mark a peer as dead with a probability of one half."""
        if self._rng.random() < _SUSPECT_PROBABILITY:
            self.suspect(peer.node_id)

    def add_revision_observer(
        self,
        observer: Callable[[int, PeerAddress], None],
    ) -> None:
        """Call ``observer`` with a newer revision and the peer that has it."""
        self._observers.append(observer)

    def set_revision(self, revision: int) -> None:
        """Disseminate the table revision of the local node."""
        self._update_local(replace(self._local, revision=revision))

    def set_tables_responder(
        self,
        responder: Callable[[Message], Message | None],
    ) -> None:
        """Let ``responder`` reply to the ``TablesPull`` frames of peers."""
        self._responder = responder

    def answer(self, frame: Message) -> Message | None:
        """Return the reply to a control frame, None if it needs none."""
        if frame.tables_pull is None or self._responder is None:
            return None
        return self._responder(frame)

    def disseminate(self) -> None:
        """Send all known records to all directories; some sends are lost."""
        for host in list(self._directories):
            if self._rng.random() > _LOSS_PROBABILITY:
                self._tasks.start_soon(self._send, host, list(self.members()))

    def receive(self, members: list[Member]) -> None:
        """Merge records; refute one that says that the local node is dead."""
        if self.ignores_updates:
            return
        for member in members:
            if member.peer.node_id != self._local.peer.node_id:
                self.merge(member)
                self._notify_observers(member)
            elif member.state == MemberState.DEAD:
                self._update_local(self._local)

    async def _send(self, host: str, members: list[Member]) -> None:
        delay_ms = self._rng.uniform(1, _MAX_DELIVERY_DELAY_MS)
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        other = self._directories.get(host)
        if other is not None and self._is_reachable(
            self._local.peer.host, host
        ):
            other.receive(members)

    def _update_local(self, local: Member) -> None:
        self._local = replace(local, version=self._local.version + 1)
        self.disseminate()

    def _notify_observers(self, member: Member) -> None:
        if member.revision > self._local.revision:
            for observer in self._observers:
                observer(member.revision, member.peer)


def _precedence(member: Member) -> tuple[int, int]:
    return member.version, member.state
