"""The membership service of a node."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio

from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.contacts import Contacts
from savorystand.membership.datagrams import DatagramPort
from savorystand.membership.distance import distance_between
from savorystand.membership.exchanges import Exchanges
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.member_list import MemberList
from savorystand.membership.swim import RevisionObserver
from savorystand.membership.swim import Swim
from savorystand.reporting.traffic import Traffic
from savorystand.reporting.traffic import TrafficKind
from savorystand.reporting.traffic import find_traffic
from savorystand.transport.address import PeerAddress
from savorystand.transport.network import Network
from savorystand.transport.peers import PeerTransport
from savorystand.trust.datagram_authenticator import DatagramAuthenticator
from savorystand.wire.codec import Message
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.membership.records import MemberRecords
    from savorystand.settings.node import NodeSettings

_TICK_INTERVAL_MS = 100
# Four datagrams of 1,400 bytes a second, which together with probes stays
# within 16 KB a second.
_GOSSIP_INTERVAL_MS = 250
_PROBE_INTERVAL_MS = 1000
_RECONCILE_INTERVAL_MS = 10000
# Keeps the connections of the last 6 exchanges open.
_UNUSED_TIMEOUT_MS = 60000

FrameResponder: TypeAlias = Callable[[Message], Message | None]


class Membership(Service):
    """Maintains the member list and answers control frames of peers."""

    __slots__ = (
        '_clock',
        '_exchanges',
        '_kernel',
        '_members',
        '_port',
        '_swim',
        '_pull_responder',
        'contact',
        'spread_confirmation',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        cfg: NodeSettings,
        node_id: str,
    ) -> None:
        """Create the local member, joining; ``run`` contacts ``cfg.seeds``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        rng = random.Random()
        local = _local_record(cfg, node_id, self._clock.wall_time())
        self._members = MemberList(clock=self._clock, local=local)
        contacts = Contacts(
            records=self._members.records,
            clock=self._clock,
            rng=rng,
        )
        authenticator = kernel.find(
            'datagram authenticator', DatagramAuthenticator
        )
        self._port = DatagramPort(authenticator=authenticator)
        self._swim = Swim(
            members=self._members,
            clock=self._clock,
            rng=rng,
            send=partial(
                _send_counted,
                self._port,
                self._members.records,
                find_traffic(kernel),
            ),
            on_contact=contacts.add,
            confirmation=kernel.find('confirmation', StoreConfirmation),
        )
        self._swim.seeds = _seeds(cfg)
        self._exchanges = Exchanges(
            members=self._members,
            contacts=contacts,
            on_failure=self._swim.probe_member,
        )
        self._pull_responder: FrameResponder | None = None
        # Sends a probe and the local record to a host and port that were found
        # by other means than gossip.
        self.contact = self._swim.contact
        # Tells some nearby members when the store confirmed the revision.
        self.spread_confirmation = partial(self._swim.disseminate, nearby=True)

    def local_member(self) -> Member:
        """Return the record of this node."""
        return self._members.records.local

    def serving(self, pool: str) -> list[Member]:
        """Return the members that may get new work; do not modify the list.

        Suspected members are included only if the pool has no others.
        """
        return self._members.records.serving(pool)

    def lookup(self, node_id: str) -> Member | None:
        """Return the member with that node id, in any state, or None."""
        return self._members.records.lookup(node_id)

    def members(self) -> Iterable[Member]:
        """Return all known members, dead ones included."""
        return self._members.records.all_members()

    def announce(self, pool: str) -> None:
        """Announce that the local target serves ``pool``."""
        local = self._members.records.local
        if (local.state, local.pool) != (MemberState.SERVING, pool):
            self._members.declare(state=MemberState.SERVING, pool=pool)
            self._swim.disseminate()

    def leave(self) -> None:
        """Announce that the local target accepts no new work."""
        local = self._members.records.local
        if local.state is MemberState.LEAVING:
            return
        self._members.declare(state=MemberState.LEAVING, pool=local.pool)
        self._swim.disseminate()
        leaving = ttypes.Leaving(node_id=local.peer.node_id)
        transport = self._kernel.find('transport', PeerTransport)
        transport.broadcast(ttypes.Frame(leaving=leaving))

    def observe_failure(self, peer: PeerAddress) -> None:
        """Probe a peer to which a connection has failed."""
        self._swim.probe_member(peer.node_id)

    def add_revision_observer(self, observer: RevisionObserver) -> None:
        """Call ``observer`` with newer table revisions and their senders."""
        self._swim.revision_observers.append(observer)

    def set_revision(self, revision: int) -> None:
        """Record the local table revision and send it to some members.

        Each of them does the same once it has the tables, so that all members
        learn of a change well before their next probe.
        """
        local = self._members.records.local
        if revision > local.revision:
            self._members.records.record_revision(local.peer.node_id, revision)
            self._swim.disseminate()
            # Peers pull a new revision from the nearest node that has it.
            self._swim.disseminate(nearby=True)

    def set_tables_responder(self, responder: FrameResponder) -> None:
        """Answer ``TablesPull`` frames of peers with ``responder``."""
        self._pull_responder = responder

    def answer(self, frame: Message) -> Message | None:
        """Return the response to a control frame, or None."""
        if frame.tables_pull is None:
            return self._exchanges.answer(frame)
        if self._pull_responder is None:
            return None
        return self._pull_responder(frame)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Run the membership protocol until cancelled.

        Raises:
            OSError: the address of this node cannot be bound.
        """
        network = self._kernel.find('network', Network)
        transport = self._kernel.find('transport', PeerTransport)
        local_address = self._members.records.local.peer
        udp = await network.datagrams(local_address.host, local_address.port)
        periodic_actions = (
            (_TICK_INTERVAL_MS, lambda: self._tick(transport)),
            (_GOSSIP_INTERVAL_MS, self._swim.gossip),
            (_PROBE_INTERVAL_MS, self._swim.probe_next),
            (_PROBE_INTERVAL_MS, self._swim.probe_unreachable),
            (_RECONCILE_INTERVAL_MS, self._exchanges.begin_regular),
            (
                _RECONCILE_INTERVAL_MS,
                lambda: transport.close_idle_connections(_UNUSED_TIMEOUT_MS),
            ),
        )
        async with udp, anyio.create_task_group() as tasks:
            self._exchanges.start(transport, tasks)
            tasks.start_soon(self._port.receive, udp, self._swim.receive)
            tasks.start_soon(self._port.deliver, udp)
            for interval_ms, action in periodic_actions:
                tasks.start_soon(_repeat, self._clock, interval_ms, action)
            self._swim.join()
            task_status.started()

    def _tick(self, transport: PeerTransport) -> None:
        self._exchanges.begin_queued()
        for member in self._swim.process_timeouts():
            transport.drop_connection(member.peer)


async def _repeat(
    clock: Clock,
    interval_ms: float,
    action: Callable[[], object],
) -> None:
    while True:
        await clock.tick(interval_ms)
        action()


def _send_counted(
    socket: DatagramPort,
    records: MemberRecords,
    traffic: Traffic,
    datagram: bytes,
    host: str,
    port: int,
) -> None:
    receiver = records.lookup_address(host, port)
    distance = distance_between(receiver, records.local)
    traffic.count(TrafficKind.GOSSIP, distance, len(datagram))
    socket.send(datagram, host, port)


def _seeds(cfg: NodeSettings) -> tuple[tuple[str, int], ...]:
    local_address = (cfg.peers.host, cfg.peers.port)
    seeds = ((seed.host, seed.port) for seed in cfg.seeds)
    return tuple(seed for seed in seeds if seed != local_address)


def _local_record(cfg: NodeSettings, node_id: str, started_ms: int) -> Member:
    return Member(
        peer=PeerAddress(
            node_id=node_id,
            host=cfg.peers.host,
            port=cfg.peers.port,
        ),
        started_ms=started_ms,
        version=1,
        state=MemberState.JOINING,
        failure_domain=cfg.failure_domain,
        region=cfg.region,
        pool='',
    )
