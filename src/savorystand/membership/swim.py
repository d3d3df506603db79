"""Failure detection and dissemination by SWIM (Das et al., 2002)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.conversion import MAX_UPDATES
from savorystand.membership.conversion import decode_address
from savorystand.membership.conversion import decode_gossip
from savorystand.membership.conversion import decode_members
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.outgoing import Outgoing
from savorystand.membership.probes import IndirectProbe
from savorystand.membership.probes import PendingProbes
from savorystand.transport.address import PeerAddress
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.membership.member_list import MemberList
    from savorystand.membership.outgoing import DatagramSender
    from savorystand.wire.codec import Message

ContactObserver: TypeAlias = Callable[[PeerAddress], None]
RevisionObserver: TypeAlias = Callable[[int, PeerAddress], None]

# Members asked for an indirect probe when a direct one is late.
_RELAY_COUNT = 3
# Members to which a change of the local record is sent at once.
FANOUT = 4
# A longer gap between two ticks means that the process was paused.
_PAUSE_THRESHOLD_MS = 1500


class Swim:
    """The SWIM protocol, without sockets and timers.

    Its methods are called periodically and with received datagrams.
    """

    __slots__ = (
        '_clock',
        '_confirmation',
        '_members',
        '_on_contact',
        '_outgoing',
        '_probes',
        '_rng',
        '_probe_order',
        '_last_tick_ms',
        'contact',
        'malformed',
        'revision_observers',
        'seeds',
    )

    def __init__(
        self,
        *,
        members: MemberList,
        clock: Clock,
        rng: random.Random,
        send: DatagramSender,
        on_contact: ContactObserver,
        confirmation: StoreConfirmation | None = None,
    ) -> None:
        """Send datagrams with ``send``, which must not block.

        ``on_contact`` is called with the sender of a datagram if it was
        unknown or believed dead before. ``confirmation`` is exchanged with
        the peers.
        """
        self._confirmation = confirmation or StoreConfirmation(clock=clock)
        self._members = members
        self._clock = clock
        self._rng = rng
        self._on_contact = on_contact
        self._outgoing = Outgoing(
            records=members.records,
            clock=clock,
            rng=rng,
            send=send,
            confirmation=self._confirmation,
        )
        # Sends a probe and the local record to a host and port; needs no node
        # id.
        self.contact = self._outgoing.contact
        self._probes = PendingProbes()
        members.death_observers.append(self.probe_member)
        # Node ids left to probe in this round.
        self._probe_order: list[str] = []
        self._last_tick_ms = clock.now()
        # Count of malformed datagrams, which are dropped.
        self.malformed = 0
        self.seeds: tuple[tuple[str, int], ...] = ()
        # Called with a table revision newer than the local one, and its sender.
        self.revision_observers: list[RevisionObserver] = []

    def probe_next(self) -> None:
        """Probe the next member: round robin, shuffled for each round."""
        if not self._probe_order:
            peers = self._members.records.live_peers()
            self._probe_order = [member.peer.node_id for member in peers]
            self._rng.shuffle(self._probe_order)
        while self._probe_order:
            member = self._members.records.lookup(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                self._send_probe(member)
                return

    def probe_member(self, node_id: str) -> None:
        """Probe a member that seems to have failed.

        Nothing is sent while ``MAX_PROBES`` probes are pending, as a failure
        is reported repeatedly.
        """
        member = self._members.records.lookup(node_id)
        if member is None or member is self._members.records.local:
            return
        if member.state is not MemberState.DEAD:
            if self._probes.may_probe(node_id):
                self._send_probe(member)

    def process_timeouts(self) -> list[Member]:
        """Process the timeouts of probes and suspicions.

        Request indirect probes for unacknowledged probes. Mark members whose
        probes have failed as suspect, and those whose suspicion has timed out
        as dead. Return the members that were removed from the list.
        """
        now = self._clock.now()
        if now - self._last_tick_ms > _PAUSE_THRESHOLD_MS:
            # This process was paused: missing acknowledgements show no failure
            # of a peer.
            self._probes.clear()
            self._members.extend_suspicions()
        self._last_tick_ms = now
        self._request_indirect_probes(now)
        for peer in self._probes.take_failed(now):
            self._members.suspect(peer.node_id)
            # Probed again until it is declared dead, so that it can refute.
            self.probe_member(peer.node_id)
        return self._members.expire()

    def probe_unreachable(self) -> None:
        """Probe the address of one dead member or unknown seed.

        This lets the sides of a healed partition, each of which believes the
        other dead, find each other.
        """
        records = self._members.records
        addresses = [
            (member.peer.host, member.peer.port)
            for member in records.unreplaced_dead()
        ]
        addresses.extend(
            seed for seed in self.seeds if records.lookup_address(*seed) is None
        )
        if addresses:
            self._outgoing.contact(*self._rng.choice(addresses))

    def join(self) -> None:
        """Send a probe and the local record to all seeds."""
        for host, port in self.seeds:
            self._outgoing.contact(host, port)

    def gossip(self) -> None:
        """Send queued updates to one member of the own region.

        Other regions get them with probes, acknowledgements and exchanges.
        """
        if self._outgoing.queued():
            self._outgoing.disseminate(1, nearby=True)

    def disseminate(self, *, nearby: bool = False) -> None:
        """Send a change of the local record to ``FANOUT`` members.

        With ``nearby``, only members of the own region get it, if there are
        any.
        """
        self._outgoing.disseminate(FANOUT, nearby=nearby)

    def receive(self, datagram: bytes, host: str, port: int) -> None:
        """Process a datagram; a malformed one is counted and dropped."""
        try:
            self._receive(datagram, host, port)
        except FrameError:
            self.malformed += 1

    def _receive(self, datagram: bytes, host: str, port: int) -> None:
        gossip = decode_gossip(datagram)
        received = decode_members(gossip.updates, MAX_UPDATES)
        sender = PeerAddress(node_id=gossip.sender, host=host, port=port)
        local_before = self._members.records.local
        if sender.node_id == local_before.peer.node_id:
            return
        for update in received:
            self._members.merge(update)
        self._record_sender(sender, gossip.revision)
        self._confirmation.receive(gossip, local_before.revision)
        if gossip.ack is not None:
            self._outgoing.forward_ack(
                self._probes.acknowledge(gossip.ack.sequence, sender.node_id),
            )
        if gossip.request is not None:
            self._send_indirect_probe(gossip.request, sender)
        if gossip.probe is not None:
            ack = ttypes.ProbeAck(sequence=gossip.probe.sequence)
            self._outgoing.send(sender, ttypes.Gossip(ack=ack), introduce=True)
        if self._members.records.local.version != local_before.version:
            # This node has refuted a record of itself that the sender may have.
            self._outgoing.send(sender, ttypes.Gossip(), introduce=True)
            self.disseminate()

    def _record_sender(self, sender: PeerAddress, revision: int) -> None:
        records = self._members.records
        member = records.lookup(sender.node_id)
        self._members.record_contact(sender.node_id)
        if member is None or member.state is MemberState.DEAD:
            self._on_contact(sender)
        records.record_revision(sender.node_id, revision)
        if revision > records.local.revision:
            for observer in self.revision_observers:
                observer(revision, sender)

    def _request_indirect_probes(self, now: float) -> None:
        for sequence, pending in self._probes.unanswered(now):
            node_id = pending.peer.node_id
            request = ttypes.ProbeRequest(
                sequence=sequence,
                node_id=node_id,
                host=pending.peer.host,
                port=pending.peer.port,
            )
            for relay in self._outgoing.sample(
                _RELAY_COUNT, excluded_id=node_id
            ):
                pending.relays.add(relay.peer.node_id)
                self._outgoing.send(relay.peer, ttypes.Gossip(request=request))

    def _send_indirect_probe(
        self, request: Message, requester: PeerAddress
    ) -> None:
        peer = decode_address(request)
        indirect = IndirectProbe(
            target=peer.node_id,
            host=requester.host,
            port=requester.port,
            sequence=request.sequence,
            sent_ms=self._clock.now(),
        )
        sequence = self._probes.begin_indirect(indirect)
        if sequence is not None:
            probe = ttypes.Probe(sequence=sequence)
            self._outgoing.send(peer, ttypes.Gossip(probe=probe))

    def _send_probe(self, member: Member) -> None:
        sequence = self._probes.begin(member.peer, self._clock.now())
        probe = ttypes.Probe(sequence=sequence)
        self._outgoing.send(member.peer, ttypes.Gossip(probe=probe))
