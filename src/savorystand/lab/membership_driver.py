"""Simulates membership of many nodes in one process.

The simulated network has neither loss nor delay.
"""

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
# Intervals of the periodic work of ``Membership``.
_TICK_INTERVAL_STEPS = 2
_GOSSIP_INTERVAL_STEPS = 5
_PROBE_INTERVAL_STEPS = 20
_RECONCILE_INTERVAL_STEPS = 200
_POOL_COUNT = 560
_DOMAIN_COUNT = 7
_HOSTS_PER_SUBNET = 250
_PORT = 7400
_STARTED_MS = 1700000000000


Reachability: TypeAlias = Callable[[str, str], bool]


def _reaches_all(source: str, host: str) -> bool:
    return True


class Driver:
    """Runs nodes that know each other, and counts the traffic they send."""

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
        """Create ``size`` nodes with complete member lists."""
        self.clock = ManualClock()
        # Delay between the time at which a node learns of a tables revision and
        # the time at which it has pulled it.
        self.pull_ms = pull_ms
        self.rng = random.Random(seed)
        self.queue: deque[tuple[bytes, str, str]] = deque()
        # Returns True if traffic from one host arrives at another. A stopped
        # node reaches no host, including itself.
        self.reaches: Reachability = _reaches_all
        self.steps = 0
        self.reset()
        records = [sample_member(number) for number in range(size)]
        self.nodes = {
            record.peer.host: DrivenNode(
                driver=self,
                local=record,
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
        """Advance time by ``seconds`` and run the steps of all nodes."""
        end_ms = self.clock.now() + seconds * MS_PER_SECOND
        while self.clock.now() < end_ms:
            self.run_step()

    def run_step(self) -> None:
        """Advance time by 50 ms and run one step of each node."""
        self.clock.advance(_STEP_MS)
        self.steps += 1
        for node in self.nodes.values():
            if self.reaches(node.host, node.host):
                node.step(self.steps)
        self.deliver()

    def deliver(self) -> None:
        """Deliver datagrams, including those sent in response."""
        while self.queue:
            datagram, source, host = self.queue.popleft()
            self.datagrams += 1
            self.datagram_bytes += len(datagram)
            if self.reaches(source, host):
                self.nodes[host].swim.receive(datagram, source, 1)

    def exchange(self, node: DrivenNode, peer: PeerAddress) -> None:
        """Run an anti-entropy exchange; probe ``peer`` if unreachable."""
        other = self.nodes[peer.host]
        if not self.reaches(node.host, other.host):
            node.swim.probe_member(peer.node_id)
            return
        frames = [node.reconciler.begin()]
        while frames:
            frame = frames.pop()
            self.count(frame)
            response = other.reconciler.answer(frame)
            if response is not None:
                self.count(response)
                frames.extend(node.reconciler.follow_up(response))

    def count(self, frame: Message) -> None:
        """Add a frame to the traffic counters."""
        self.frames += 1
        self.frame_bytes += len(encode_frame(frame))


class DrivenNode:
    """One simulated node with a member list and its periodic work."""

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
        local: Member,
        records: list[Member],
    ) -> None:
        """Create a node with a complete list and a random interval phase."""
        self.driver = driver
        self.host = local.peer.host
        # Time at which the node has pulled the revision that it learned of.
        self.ready_ms = float('inf')
        self.phase = driver.rng.randrange(_RECONCILE_INTERVAL_STEPS)
        self.members = MemberList(clock=driver.clock, local=local)
        for record in records:
            if record is not local:
                # Happens before the list has observers, so that these records
                # are not gossiped.
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
        """Record when this node will have pulled a revision."""
        due_ms = self.driver.clock.now() + self.driver.pull_ms
        self.ready_ms = min(self.ready_ms, due_ms)

    def send(self, datagram: bytes, host: str, port: int) -> None:
        """Queue a datagram for delivery."""
        self.driver.queue.append((datagram, self.host, host))

    def step(self, count: int) -> None:
        """Run the periodic work that is due at step ``count``."""
        phase_step = count + self.phase
        if phase_step % _TICK_INTERVAL_STEPS == 0:
            self.swim.process_timeouts()
            for peer in self.contacts.take():
                self.driver.exchange(self, peer)
        if phase_step % _GOSSIP_INTERVAL_STEPS == 0:
            self.swim.gossip()
        if phase_step % _PROBE_INTERVAL_STEPS == 0:
            self.swim.probe_next()
            self.swim.probe_unreachable()
        partner = None
        if phase_step % _RECONCILE_INTERVAL_STEPS == 0:
            partner = self.contacts.partner()
        if partner is not None:
            self.driver.exchange(self, partner)


def sample_member(number: int) -> Member:
    """Return one of 7,700 distinct members with names of typical length."""
    high, low = divmod(number, _HOSTS_PER_SUBNET)
    domain = number % _DOMAIN_COUNT
    pool = number % _POOL_COUNT
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
