"""Nodes that follow the configuration, with real gossip and feed readers.

The network, the pulls from peers and the store are simulated.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.kernel.kernel import Kernel
from savorystand.lab.fuzz.virtual_time import LoopClock
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.member_list import MemberList
from savorystand.membership.swim import Swim
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedPosition
from savorystand.tables.feed_reader import FeedReader
from savorystand.transport.address import PeerAddress

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savorystand.reporting.logs import Event
    from savorystand.tables.feed_reader import FeedAnswer

APPLY_MS = 2500
_LATENCY_MS = 2
_STORE_MS = 4
_PULL_MS = 20
_STEP_MS = 10
_PORT = 7000


class _SilentLog(EventLog):
    def write(self, event: Event) -> None:
        """Drop the event."""


class Follower:
    """A node that follows the configuration; also its feed and its tables."""

    def __init__(self, *, estate: FollowerEstate, member: Member) -> None:
        """Create the node of ``member``, which knows no others."""
        self.estate = estate
        self.calls = 0
        # The store refuses the requests of this node, or loses them.
        self.refused = False
        self.lost = False
        self._revision = 0
        clock = estate.clock
        self.member_list = MemberList(clock=clock, local=member)
        self.confirmation = StoreConfirmation(clock=clock)
        self.swim = Swim(
            members=self.member_list,
            clock=clock,
            rng=random.Random(estate.rng.random()),
            send=lambda datagram, host, port: estate.send(
                self.host, host, datagram
            ),
            on_contact=lambda peer: None,
            confirmation=self.confirmation,
        )
        kernel = Kernel(clock=clock)
        kernel.register('clock', clock)
        kernel.register('membership', self)
        kernel.register('confirmation', self.confirmation)
        kernel.register('log', _SilentLog(clock=clock, node_id=self.host))
        self._reader = FeedReader(
            kernel=kernel,
            feed=self,
            tables=self,
            rng=random.Random(estate.rng.random()),
            apply_ms=APPLY_MS,
        )
        self.swim.revision_observers.append(self._pull)

    @property
    def host(self) -> str:
        """Return the address of the node."""
        return self.local_member().peer.host

    async def run(self) -> None:
        """Run gossip and the feed reader until cancelled."""
        clock = self.estate.clock
        await clock.sleep(self.estate.rng.uniform(0, MS_PER_SECOND))
        async with anyio.create_task_group() as tasks:
            for interval_ms, action in (
                (100, self.swim.process_timeouts),
                (250, self.swim.gossip),
                (1000, self.swim.probe_next),
            ):
                tasks.start_soon(self._repeat, interval_ms, action)
            tasks.start_soon(self._reader.run)

    # MemberDirectory and ConfirmationGossip

    def local_member(self) -> Member:
        """Return the record of this node."""
        return self.member_list.records.local

    def members(self) -> Iterable[Member]:
        """Return all records."""
        return self.member_list.records.all_members()

    def serving(self, pool: str) -> list[Member]:
        """Return no members: the tables are followed without calls."""
        return []

    def lookup(self, node_id: str) -> Member | None:
        """Return the member with that id."""
        return self.member_list.records.lookup(node_id)

    def announce(self, pool: str) -> None:
        """Do nothing: the node has no target."""

    def leave(self) -> None:
        """Do nothing: the node does not leave."""

    def spread_confirmation(self) -> None:
        """Tell nearby members of the last confirmation."""
        self.swim.disseminate(nearby=True)

    # TablesInstaller

    def revision(self) -> int:
        """Return the revision in force."""
        return self._revision

    def can_install(self, revision: int) -> bool:
        """Return True if a revision is newer."""
        return revision > self._revision

    def install(self, document: TablesDocument) -> bool:
        """Install a newer revision and tell peers of it."""
        if document.revision <= self._revision:
            return False
        self._revision = document.revision
        self.estate.installed_ms[self.host] = self.estate.clock.now()
        local = self.local_member().peer.node_id
        self.member_list.records.record_revision(local, document.revision)
        self.swim.disseminate()
        self.swim.disseminate(nearby=True)
        return True

    # ConfigurationFeed

    async def newest(self) -> FeedAnswer:
        """Return the configuration of the store."""
        return await self._answer(0, 0)

    async def changes(
        self, position: FeedPosition, wait_ms: float
    ) -> FeedAnswer:
        """Wait for a change at the store."""
        return await self._answer(position.version, wait_ms)

    async def _answer(self, version: int, wait_ms: float) -> FeedAnswer:
        estate = self.estate
        self.calls += 1
        await estate.clock.sleep(_STORE_MS)
        end_ms = estate.clock.now() + wait_ms
        while estate.revision <= version and estate.clock.now() < end_ms:
            await estate.clock.sleep(_STEP_MS)
        if self.lost:
            await anyio.sleep_forever()
        if self.refused:
            raise StoreUnavailableError('refused')
        position = FeedPosition(version=estate.revision)
        if estate.revision <= version:
            return None, position
        return _document(estate.revision), position

    def _pull(self, revision: int, peer: PeerAddress) -> None:
        self._reader.expect(revision)
        self.estate.clock.call_later(
            _PULL_MS, lambda: self._finish_pull(revision, peer)
        )

    def _finish_pull(self, revision: int, peer: PeerAddress) -> None:
        if self.estate.reaches(self.host, peer.host):
            self.install(_document(revision))

    async def _repeat(
        self, interval_ms: float, action: Callable[[], object]
    ) -> None:
        while True:
            await self.estate.clock.sleep(interval_ms)
            action()


class FollowerEstate:
    """All followers, and the revision in the store."""

    def __init__(self, *, seed: int) -> None:
        """Start without nodes and without a configuration."""
        self.clock = LoopClock()
        self.rng = random.Random(seed)
        self.nodes: dict[str, Follower] = {}
        self.revision = 1
        self.installed_ms: dict[str, float] = {}
        # Hosts that reach no peer, or have ended.
        self.cut_off: set[str] = set()
        self._scopes: dict[str, anyio.CancelScope] = {}

    def add(self, domains: int, per_domain: int) -> None:
        """Add nodes that all know each other; two domains make a region."""
        members = [
            _member(f'10.{domain}.0.{number}', domain)
            for domain in range(domains)
            for number in range(per_domain)
        ]
        for member in members:
            self.nodes[member.peer.host] = Follower(estate=self, member=member)
        for node in self.nodes.values():
            for other in members:
                node.member_list.merge(other)

    def add_newcomer(self, domain: int) -> Follower:
        """Add a node that one other node knows."""
        member = _member(f'10.{domain}.1.1', domain)
        node = Follower(estate=self, member=member)
        seed = next(iter(self.nodes.values()))
        node.member_list.merge(seed.local_member())
        seed.member_list.merge(member)
        self.nodes[node.host] = node
        return node

    async def run_node(self, node: Follower) -> None:
        """Run a node until it is killed."""
        self._scopes[node.host] = anyio.CancelScope()
        with self._scopes[node.host]:
            await node.run()

    def kill(self, node: Follower) -> None:
        """End a node without notice."""
        self.cut_off.add(node.host)
        self._scopes[node.host].cancel()

    def readers(self) -> list[Follower]:
        """Return the nodes that wait at the store, by their calls."""
        ranked = sorted(self.nodes.values(), key=lambda node: -node.calls)
        return ranked[: 2 * len({_domain(node) for node in ranked})]

    def reaches(self, source: str, host: str) -> bool:
        """Return True if one host reaches another."""
        return source not in self.cut_off and host not in self.cut_off

    def send(self, source: str, host: str, datagram: bytes) -> None:
        """Deliver a datagram after the latency of the network."""
        self.clock.call_later(
            _LATENCY_MS, lambda: self._deliver(source, host, datagram)
        )

    def behind(self) -> list[str]:
        """Return the running nodes that lack the revision of the store."""
        return [
            host
            for host, node in self.nodes.items()
            if node.revision() < self.revision
            and not self._scopes[host].cancel_called
        ]

    def store_calls(self) -> int:
        """Return the calls of all nodes to the store."""
        return sum(node.calls for node in self.nodes.values())

    def _deliver(self, source: str, host: str, datagram: bytes) -> None:
        node = self.nodes.get(host)
        if node is not None and self.reaches(source, host):
            node.swim.receive(datagram, source, _PORT)


def _document(revision: int) -> TablesDocument:
    return TablesDocument(revision=revision, change_id='', routes='', pools='')


def _member(host: str, domain: int) -> Member:
    region = domain // 2
    return Member(
        peer=PeerAddress(node_id=host, host=host, port=_PORT),
        started_ms=0,
        version=1,
        state=MemberState.SERVING,
        failure_domain=f'd{domain}',
        region=f'r{region}',
        pool='pool',
    )


def _domain(node: Follower) -> str:
    return node.local_member().failure_domain
