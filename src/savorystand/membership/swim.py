"""Failure detection and dissemination over datagrams (Das et al., 2002)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from savorystand.membership.conversion import MAX_UPDATES
from savorystand.membership.conversion import decode_address
from savorystand.membership.conversion import decode_gossip
from savorystand.membership.conversion import decode_members
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.outgoing import Outgoing
from savorystand.membership.probes import PendingProbes
from savorystand.membership.probes import Relay
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

_RELAYS = 3
# Members that are told at once of a change of this node's own.
FANOUT = 4
# The timer is this late only if the process was paused.
_PAUSE_MS = 1500


class Swim:
    """Steps of the protocol; ``Membership`` runs them in its tasks."""

    __slots__ = (
        '_clock',
        '_members',
        '_on_contact',
        '_outgoing',
        '_probes',
        '_rng',
        '_turn',
        '_woken_ms',
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
    ) -> None:
        """Send datagrams with ``send``, which must not block.

        ``on_contact`` gets each member, unknown or believed dead until then,
        that this node has heard from.
        """
        self._members = members
        self._clock = clock
        self._rng = rng
        self._on_contact = on_contact
        self._outgoing = Outgoing(
            records=members.records,
            clock=clock,
            rng=rng,
            send=send,
        )
        # Probes an address, whatever process listens there.
        self.contact = self._outgoing.contact
        self._probes = PendingProbes()
        members.death_observers.append(self.check)
        # Node ids left to probe in this round.
        self._turn: list[str] = []
        self._woken_ms = clock.now()
        # Datagrams dropped so far.
        self.malformed = 0
        self.seeds: tuple[tuple[str, int], ...] = ()
        # Called with a table revision newer than the own one, and its sender.
        self.revision_observers: list[RevisionObserver] = []

    def probe_next(self) -> None:
        """Probe one member: round robin in an order drawn for each round."""
        if not self._turn:
            others = self._members.records.others()
            self._turn = [member.peer.node_id for member in others]
            self._rng.shuffle(self._turn)
        while self._turn:
            member = self._members.records.lookup(self._turn.pop())
            if member is not None and member.state is not MemberState.DEAD:
                self._probe(member)
                return

    def check(self, node_id: str) -> None:
        """Probe a member that seems to have failed.

        Under many such hints only some are followed: the others are repeated.
        """
        member = self._members.records.lookup(node_id)
        if member is None or member is self._members.records.local:
            return
        if member.state is not MemberState.DEAD:
            if self._probes.may_check(node_id):
                self._probe(member)

    def expire(self) -> list[Member]:
        """Ask others for help with late probes; suspect; declare dead.

        Returns the members that are forgotten.
        """
        now = self._clock.now()
        if now - self._woken_ms > _PAUSE_MS:
            # This process was paused: its peers are not to blame.
            self._probes.clear()
            self._members.extend_suspicions()
        self._woken_ms = now
        self._ask_relays(now)
        for peer in self._probes.failed(now):
            self._members.suspect(peer.node_id)
            # Asked again until it is declared dead, so that it can refute.
            self.check(peer.node_id)
        return self._members.expire()

    def retry_lost(self) -> None:
        """Probe the address of one dead member or seed."""
        records = self._members.records
        addresses = [
            (member.peer.host, member.peer.port) for member in records.lost()
        ]
        addresses.extend(
            seed for seed in self.seeds if records.at(*seed) is None
        )
        if addresses:
            self._outgoing.contact(*self._rng.choice(addresses))

    def join(self) -> None:
        """Contact all seeds."""
        for host, port in self.seeds:
            self._outgoing.contact(host, port)

    def gossip(self) -> None:
        """Send waiting updates to one member."""
        if self._outgoing.waiting():
            self._outgoing.disseminate(1)

    def disseminate(self) -> None:
        """Tell some members at once of a change of this node's own."""
        self._outgoing.disseminate(FANOUT)

    def receive(self, datagram: bytes, host: str, port: int) -> None:
        """Take in a datagram; a malformed one is counted and dropped."""
        try:
            self._receive(datagram, host, port)
        except FrameError:
            self.malformed += 1

    def _receive(self, datagram: bytes, host: str, port: int) -> None:
        gossip = decode_gossip(datagram)
        heard = decode_members(gossip.updates, MAX_UPDATES)
        sender = PeerAddress(node_id=gossip.sender, host=host, port=port)
        own = self._members.records.local
        if sender.node_id == own.peer.node_id:
            return
        for update in heard:
            self._members.merge(update)
        self._note_sender(sender, gossip.revision)
        if gossip.ack is not None:
            self._outgoing.forward(
                self._probes.acknowledge(gossip.ack.sequence, sender.node_id),
            )
        if gossip.request is not None:
            self._relay(gossip.request, sender)
        if gossip.probe is not None:
            ack = ttypes.ProbeAck(sequence=gossip.probe.sequence)
            self._outgoing.send(sender, ttypes.Gossip(ack=ack), introduce=True)
        if self._members.records.local.version != own.version:
            # Something was refuted, which the sender may believe.
            self._outgoing.send(sender, ttypes.Gossip(), introduce=True)
            self.disseminate()

    def _note_sender(self, sender: PeerAddress, revision: int) -> None:
        records = self._members.records
        known = records.lookup(sender.node_id)
        self._members.vouch(sender.node_id)
        if known is None or known.state is MemberState.DEAD:
            self._on_contact(sender)
        records.record_revision(sender.node_id, revision)
        if revision > records.local.revision:
            for observer in self.revision_observers:
                observer(revision, sender)

    def _ask_relays(self, now: float) -> None:
        for sequence, probing in self._probes.unanswered(now):
            node_id = probing.peer.node_id
            request = ttypes.ProbeRequest(
                sequence=sequence,
                node_id=node_id,
                host=probing.peer.host,
                port=probing.peer.port,
            )
            for relay in self._outgoing.sample(_RELAYS, without=node_id):
                probing.relays.add(relay.peer.node_id)
                self._outgoing.send(relay.peer, ttypes.Gossip(request=request))

    def _relay(self, request: Message, origin: PeerAddress) -> None:
        peer = decode_address(request)
        relay = Relay(
            target=peer.node_id,
            host=origin.host,
            port=origin.port,
            sequence=request.sequence,
            sent_ms=self._clock.now(),
        )
        sequence = self._probes.begin_relay(relay)
        if sequence is not None:
            probe = ttypes.Probe(sequence=sequence)
            self._outgoing.send(peer, ttypes.Gossip(probe=probe))

    def _probe(self, member: Member) -> None:
        sequence = self._probes.begin(member.peer, self._clock.now())
        probe = ttypes.Probe(sequence=sequence)
        self._outgoing.send(member.peer, ttypes.Gossip(probe=probe))
