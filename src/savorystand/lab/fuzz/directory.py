"""A membership directory whose news are late, lost or wrong."""

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
    """The records that one node knows."""

    def __init__(self, *, local: Member) -> None:
        """Know the own record only."""
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
        """Return the member of that node id, whatever its state."""
        if node_id == self._local.peer.node_id:
            return self._local
        return self._remote.get(node_id)

    def members(self) -> Iterable[Member]:
        """Return all known members."""
        return [self._local, *self._remote.values()]

    def suspect(self, node_id: str) -> None:
        """Believe a member dead until it says otherwise."""
        member = self._remote.get(node_id)
        if member is not None:
            self._remote[node_id] = replace(member, state=MemberState.DEAD)

    def merge(self, member: Member) -> None:
        """Take a record in; the higher version wins, then the state."""
        node_id = member.peer.node_id
        known = self._remote.get(node_id)
        if known is None or _precedence(member) > _precedence(known):
            self._remote[node_id] = member


@final
class FuzzDirectory(MemberView):
    """One node's view of the members.

    The network between directories is ``is_reachable``; what is lost on it arrives
    with a later exchange, unless the directory was told to stay behind.
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
        """Join ``others``, the directories of all live nodes by host."""
        super().__init__(local=local)
        self._rng = rng
        self._directories = directories
        self._is_reachable = is_reachable
        self._tasks = tasks
        self._observers: list[Callable[[int, PeerAddress], None]] = []
        self._responder: Callable[[Message], Message | None] | None = None
        # Until then no news is taken in.
        self.ignores_updates = False

    async def run(self) -> None:
        """Exchange all records with others now and then."""
        while True:
            self.disseminate()
            await anyio.sleep(_EXCHANGE_INTERVAL_MS / MS_PER_SECOND)

    def announce(self, pool: str) -> None:
        """Say that the local target serves ``pool`` from now on."""
        self._update_local(
            replace(self._local, state=MemberState.SERVING, pool=pool)
        )

    def leave(self) -> None:
        """Say that the local target takes no new work from now on."""
        self._update_local(replace(self._local, state=MemberState.LEAVING))

    def observe_failure(self, peer: PeerAddress) -> None:
        """Believe a peer dead, half of the time."""
        if self._rng.random() < _SUSPECT_PROBABILITY:
            self.suspect(peer.node_id)

    def add_revision_observer(
        self,
        observer: Callable[[int, PeerAddress], None],
    ) -> None:
        """Pass newer table revisions and the peer that has them on."""
        self._observers.append(observer)

    def set_revision(self, revision: int) -> None:
        """Record the own table revision."""
        self._update_local(replace(self._local, revision=revision))

    def set_tables_responder(
        self,
        responder: Callable[[Message], Message | None],
    ) -> None:
        """Let ``responder`` reply to the ``TablesPull`` frames of peers."""
        self._responder = responder

    def answer(self, frame: Message) -> Message | None:
        """Return the reply to a control frame, if it has one."""
        if frame.tables_pull is None or self._responder is None:
            return None
        return self._responder(frame)

    def disseminate(self) -> None:
        """Send all known records to the others; some are lost."""
        for host in list(self._directories):
            if self._rng.random() > _LOSS_PROBABILITY:
                self._tasks.start_soon(self._send, host, list(self.members()))

    def receive(self, members: list[Member]) -> None:
        """Take in records, and refute that this node is dead."""
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
