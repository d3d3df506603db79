"""Member lists in one process, joined by a network without loss or delay."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import ManualClock
from savorystand.membership.contacts import Contacts
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.member_list import MemberList
from savorystand.membership.reconciliation import Reconciler
from savorystand.membership.swim import Swim
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import encode_frame

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

_STEP_MS = 50
# Periods of ``Membership``, in steps.
_TICK = 2
_GOSSIP = 5
SECOND = 20
_RECONCILE = 200
_POOLS = 560
_DOMAINS = 7
# Addresses a subnet, port and start times of the sample records.
_HOSTS = 250
_PORT = 7400
_STARTED_MS = 1700000000000


Reach: TypeAlias = Callable[[str, str], bool]


def _reaches_all(source: str, host: str) -> bool:
    return True


class Driver:
    """Nodes that know each other, and counters of what they send."""

    __slots__ = (
        'clock',
        'datagram_bytes',
        'datagrams',
        'frame_bytes',
        'frames',
        'nodes',
        'pull_ms',
        'queue',
        'reaches',
        'rng',
        'steps',
    )

    def __init__(self, *, size: int, seed: int, pull_ms: float = 0) -> None:
        """Start ``size`` nodes whose lists are complete."""
        self.clock = ManualClock()
        # What the pull of a table revision takes after a node heard of it.
        self.pull_ms = pull_ms
        self.rng = random.Random(seed)
        self.queue: deque[tuple[bytes, str, str]] = deque()
        # Whether what one host sends arrives at another; a stopped node
        # reaches nobody, itself included.
        self.reaches: Reach = _reaches_all
        self.steps = 0
        self.reset()
        records = [sample_member(number) for number in range(size)]
        self.nodes = {
            record.peer.host: DrivenNode(
                driver=self,
                own=record,
                records=records,
            )
            for record in records
        }

    def reset(self) -> None:
        """Set the counters to 0."""
        self.datagrams = 0
        self.datagram_bytes = 0
        self.frames = 0
        self.frame_bytes = 0

    def run(self, seconds: int) -> None:
        """Move time forward and run the steps that are due."""
        end_ms = self.clock.now() + seconds * MS_PER_SECOND
        while self.clock.now() < end_ms:
            self.run_step()

    def run_step(self) -> None:
        """Move time forward by one step of 50 ms."""
        self.clock.advance(_STEP_MS)
        self.steps += 1
        for node in self.nodes.values():
            if self.reaches(node.host, node.host):
                node.step(self.steps)
        self.deliver()

    def deliver(self) -> None:
        """Deliver datagrams until none is on its way."""
        while self.queue:
            datagram, source, host = self.queue.popleft()
            self.datagrams += 1
            self.datagram_bytes += len(datagram)
            if self.reaches(source, host):
                self.nodes[host].swim.receive(datagram, source, 1)

    def exchange(self, node: DrivenNode, peer: PeerAddress) -> None:
        """Run one anti-entropy exchange."""
        other = self.nodes[peer.host]
        if not self.reaches(node.host, other.host):
            node.swim.probe_member(peer.node_id)
            return
        frames = [node.reconciler.begin()]
        while frames:
            frame = frames.pop()
            self.count(frame)
            reply = other.reconciler.answer(frame)
            if reply is not None:
                self.count(reply)
                frames.extend(node.reconciler.follow_up(reply))

    def count(self, frame: Message) -> None:
        """Add a frame to the counters."""
        self.frames += 1
        self.frame_bytes += len(encode_frame(frame))


class DrivenNode:
    """One member list with its protocol steps."""

    __slots__ = (
        'contacts',
        'driver',
        'host',
        'members',
        'phase',
        'ready_ms',
        'reconciler',
        'swim',
    )

    def __init__(
        self,
        *,
        driver: Driver,
        own: Member,
        records: list[Member],
    ) -> None:
        """Start with a complete list, at a random phase of all periods."""
        self.driver = driver
        self.host = own.peer.host
        # Time at which the node has pulled the revision that it heard of.
        self.ready_ms = float('inf')
        self.phase = driver.rng.randrange(_RECONCILE)
        self.members = MemberList(clock=driver.clock, local=own)
        for record in records:
            if record is not own:
                # Before the list is observed, so that it is not gossiped.
                self.members.records.put(record)
        self.reconciler = Reconciler(members=self.members)
        self.contacts = Contacts(
            records=self.members.records,
            clock=driver.clock,
            rng=driver.rng,
        )
        self.swim = Swim(
            members=self.members,
            clock=driver.clock,
            rng=driver.rng,
            send=self.send,
            on_contact=self.contacts.add,
        )
        self.swim.revision_observers.append(self.receive_revision)

    def receive_revision(self, revision: int, peer: PeerAddress) -> None:
        """Note when this node will have pulled a revision."""
        due_ms = self.driver.clock.now() + self.driver.pull_ms
        self.ready_ms = min(self.ready_ms, due_ms)

    def send(self, datagram: bytes, host: str, port: int) -> None:
        """Queue a datagram."""
        self.driver.queue.append((datagram, self.host, host))

    def step(self, count: int) -> None:
        """Run the steps that are due."""
        turn = count + self.phase
        if turn % _TICK == 0:
            self.swim.process_timeouts()
            for peer in self.contacts.take():
                self.driver.exchange(self, peer)
        if turn % _GOSSIP == 0:
            self.swim.gossip()
        if turn % SECOND == 0:
            self.swim.probe_next()
            self.swim.probe_unreachable()
        partner = None
        if turn % _RECONCILE == 0:
            partner = self.contacts.partner()
        if partner is not None:
            self.driver.exchange(self, partner)


def sample_member(number: int) -> Member:
    """Return one of 7,700 distinct records with names of usual length."""
    high, low = divmod(number, _HOSTS)
    domain = number % _DOMAINS
    pool = number % _POOLS
    return Member(
        peer=PeerAddress(
            node_id=random.Random(number).randbytes(8).hex(),
            host=f'10.20.{high}.{low}',
            port=_PORT,
        ),
        started_ms=_STARTED_MS + number,
        version=2,
        state=MemberState.SERVING,
        failure_domain=f'viti-levu-{domain}',
        region='viti-levu',
        pool=f'service-{pool}',
        revision=1000,
    )
