"""Member lists on one clock, connected by a lossy, delaying network."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from savorystand.clock import ManualClock
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

STEP_MS = 50
BASE_PORT = 7000
HOST = '127.0.0.1'


class FakeNode:
    """A simulated process; the network runs its steps."""

    def __init__(self, net: FakeNetwork, port: int, started_ms: int) -> None:
        """Start a process at ``port``; it contacts the seeds of ``net``."""
        self.net = net
        self.port = port
        self.paused = False
        self.phase = net.rng.randrange(20)
        own = Member(
            peer=PeerAddress(
                node_id=net.rng.randbytes(8).hex(),
                host=HOST,
                port=port,
            ),
            started_ms=started_ms,
            version=1,
            state=MemberState.JOINING,
            failure_domain=str(port % 2),
            region='r',
            pool='',
        )
        self.members = MemberList(clock=net.clock, local=own)
        self.records = self.members.records
        self.contacts = Contacts(
            records=self.records, clock=net.clock, rng=net.rng
        )
        self.swim = Swim(
            members=self.members,
            clock=net.clock,
            rng=net.rng,
            send=lambda payload, host, to: net.send(port, to, payload),
            on_contact=self.contacts.add,
        )
        self.swim.seeds = tuple(
            (HOST, seed) for seed in net.seeds if seed != port
        )
        self.reconciler = Reconciler(members=self.members)
        self.members.declare(state=MemberState.SERVING, pool='pool')
        self.swim.join()

    def step(self, count: int) -> None:
        """Run the steps that are due in this slice of time."""
        if count % 2 == 0:
            self.swim.process_timeouts()
            for peer in self.contacts.take():
                self.net.exchange(self, peer)
        if count % 5 == 0:
            self.swim.gossip()
        if count % 20 == self.phase:
            self.swim.probe_next()
            self.swim.probe_unreachable()
        if count % 200 == self.phase:
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
    sides: dict[int, int] = field(default_factory=dict)
    queue: list[tuple[float, int, int, int, bytes]] = field(
        default_factory=list
    )
    sent: int = 0
    count: int = 0

    def start(self, port: int, *, setback_ms: int = 0) -> FakeNode:
        """Start a process at ``port`` in place of the one there."""
        started_ms = int(self.clock.now()) + 100000 - setback_ms
        self.nodes[port] = FakeNode(self, port, started_ms)
        return self.nodes[port]

    def linked(self, left: int, right: int) -> bool:
        """Return True if both ports are on the same side of a partition."""
        return self.sides.get(left, 0) == self.sides.get(right, 0)

    def send(self, source: int, to: int, payload: bytes) -> None:
        """Queue a datagram; delays are drawn so that some are reordered."""
        assert len(payload) <= MAX_DATAGRAM_BYTES
        self.sent += 1
        if self.rng.random() < self.loss or not self.linked(source, to):
            return
        due = self.clock.now() + self.rng.uniform(0, self.delay_ms)
        heapq.heappush(self.queue, (due, self.sent, source, to, payload))

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
            reply = other.reconciler.answer(frame)
            if reply is not None:
                encode_frame(reply)
                frames.extend(node.reconciler.follow_up(reply))

    def run(self, ms: int) -> None:
        """Advance the clock and run the steps that are due."""
        for _ in range(ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.count += 1
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.paused:
                    node.step(self.count)

    def truth(self) -> dict[str, tuple[int, MemberState]]:
        """Return what every node should see: each node's own record."""
        own = [node.records.local for node in self.nodes.values()]
        return {
            member.peer.node_id: (member.version, member.state)
            for member in own
        }

    def converged(self) -> bool:
        """Return True if every node sees exactly the live nodes."""
        truth = self.truth()
        return all(node.alive() == truth for node in self.nodes.values())

    def _deliver(self) -> None:
        while self.queue and self.queue[0][0] <= self.clock.now():
            source, to, payload = heapq.heappop(self.queue)[2:]
            node = self.nodes.get(to)
            if node and not node.paused and self.linked(source, to):
                node.swim.receive(payload, HOST, source)
