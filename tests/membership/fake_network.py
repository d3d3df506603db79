"""Member lists on one clock, connected by a lossy, delaying network."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from savorystand.clock import ManualClock
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.contacts import Contacts
from savorystand.membership.conversion import MAX_DATAGRAM_BYTES
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.member_list import MemberList
from savorystand.membership.reconciliation import Reconciler
from savorystand.membership.swim import Swim
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import encode_frame

if TYPE_CHECKING:
    import random

TICK_MS = 50
BASE_PORT = 7000
HOST = '127.0.0.1'


class FakeNode:
    """A simulated process without sockets and timers."""

    def __init__(self, net: FakeNetwork, port: int, started_ms: int) -> None:
        """Start a process at ``port``; it contacts the seeds of ``net``."""
        self.net = net
        self.port = port
        self.paused = False
        self.tick_offset = net.rng.randrange(20)
        local = Member(
            peer=PeerAddress(
                node_id=net.rng.randbytes(8).hex(),
                host=HOST,
                port=port,
            ),
            started_ms=started_ms,
            version=1,
            state=MemberState.JOINING,
            failure_domain=str(port % 2),
            region=str(port % net.regions),
            pool='',
        )
        self.members = MemberList(clock=net.clock, local=local)
        self.records = self.members.records
        self.contacts = Contacts(
            records=self.records, clock=net.clock, rng=net.rng
        )
        self.confirmation = StoreConfirmation(clock=net.clock)
        self.swim = Swim(
            members=self.members,
            clock=net.clock,
            rng=net.rng,
            send=lambda payload, host, to: net.send(port, to, payload),
            on_contact=self.contacts.add,
            confirmation=self.confirmation,
        )
        self.swim.seeds = tuple(
            (HOST, seed) for seed in net.seeds if seed != port
        )
        self.reconciler = Reconciler(members=self.members)
        self.members.declare(state=MemberState.SERVING, pool='pool')
        self.swim.join()

    def tick(self, number: int) -> None:
        """Run the protocol actions that are due at a tick of ``TICK_MS``."""
        if number % 2 == 0:
            self.swim.process_timeouts()
            for peer in self.contacts.take():
                self.net.exchange(self, peer)
        if number % 5 == 0:
            self.swim.gossip()
        if number % 20 == self.tick_offset:
            self.swim.probe_next()
            self.swim.probe_unreachable()
        if number % 200 == self.tick_offset:
            partner = self.contacts.partner()
            if partner is not None:
                self.net.exchange(self, partner)

    def alive(self) -> dict[str, tuple[int, MemberState]]:
        """Return version and state of the members not believed dead."""
        return {
            member.peer.node_id: (member.version, member.state)
            for member in self.records.all_members()
            if member.state is not MemberState.DEAD
        }


@dataclass
class FakeNetwork:
    """Nodes by port and the datagrams in transit."""

    rng: random.Random
    clock: ManualClock = field(default_factory=lambda: ManualClock(now=1000))
    nodes: dict[int, FakeNode] = field(default_factory=dict)
    seeds: tuple[int, ...] = (BASE_PORT, BASE_PORT + 1)
    loss: float = 0
    delay_ms: int = 1
    regions: int = 1
    sides: dict[int, int] = field(default_factory=dict)
    queue: list[tuple[float, int, int, int, bytes]] = field(
        default_factory=list
    )
    sent: int = 0
    ticks: int = 0

    def start(self, port: int, *, setback_ms: int = 0) -> FakeNode:
        """Start a process at ``port`` in place of the one there."""
        started_ms = int(self.clock.now()) + 100000 - setback_ms
        self.nodes[port] = FakeNode(self, port, started_ms)
        return self.nodes[port]

    def linked(self, left: int, right: int) -> bool:
        """Return True if both ports are on the same side of a partition."""
        return self.sides.get(left, 0) == self.sides.get(right, 0)

    def send(self, source: int, to: int, payload: bytes) -> None:
        """Queue a datagram with a random delay, so that some are reordered."""
        assert len(payload) <= MAX_DATAGRAM_BYTES
        self.sent += 1
        if self.rng.random() < self.loss or not self.linked(source, to):
            return
        due_ms = self.clock.now() + self.rng.uniform(0, self.delay_ms)
        heapq.heappush(self.queue, (due_ms, self.sent, source, to, payload))

    def exchange(self, node: FakeNode, peer: PeerAddress) -> None:
        """Run one anti-entropy exchange over a connection."""
        other = self.nodes.get(peer.port)
        if (
            other is None
            or other.paused
            or not self.linked(node.port, peer.port)
        ):
            node.swim.probe_member(peer.node_id)
            return
        frames = [node.reconciler.begin()]
        while frames:
            frame = frames.pop()
            encode_frame(frame)
            response = other.reconciler.answer(frame)
            if response is not None:
                encode_frame(response)
                frames.extend(node.reconciler.follow_up(response))

    def run(self, ms: int) -> None:
        """Advance the clock, deliver datagrams and run the nodes."""
        for _ in range(ms // TICK_MS):
            self.clock.advance(TICK_MS)
            self.ticks += 1
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.paused:
                    node.tick(self.ticks)

    def expected_members(self) -> dict[str, tuple[int, MemberState]]:
        """Return version and state of each node by its own record.

        A node whose list has converged sees the same.
        """
        records = [node.records.local for node in self.nodes.values()]
        return {
            member.peer.node_id: (member.version, member.state)
            for member in records
        }

    def converged(self) -> bool:
        """Return True if every node sees exactly the live nodes."""
        expected = self.expected_members()
        return all(node.alive() == expected for node in self.nodes.values())

    def _deliver(self) -> None:
        while self.queue and self.queue[0][0] <= self.clock.now():
            source, to, payload = heapq.heappop(self.queue)[2:]
            node = self.nodes.get(to)
            if node and not node.paused and self.linked(source, to):
                node.swim.receive(payload, HOST, source)
