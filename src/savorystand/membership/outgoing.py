"""Outgoing datagrams, filled up with member updates."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from savorystand.membership.allowance import UpdateAllowance
from savorystand.membership.conversion import MAX_DATAGRAM_BYTES
from savorystand.membership.conversion import encode_member
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.updates import UpdateQueue
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import Message
from savorystand.wire.codec import encode_struct
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.membership.confirmation import StoreConfirmation
    from savorystand.membership.probes import IndirectProbe
    from savorystand.membership.records import MemberRecords

DatagramSender: TypeAlias = Callable[[bytes, str, int], None]

# A receiver recorded in one of these states gets its record, to refute it.
_REFUTABLE_STATES = frozenset((MemberState.SUSPECT, MemberState.DEAD))
# Bytes of updates in a datagram to another region, about four records. A region
# learns of a change from the first few of these, and spreads it by itself.
_MAX_FAR_BYTES = 400
# Bounds how much longer the encoded header of a list of updates is than that of
# an empty list.
_LIST_OVERHEAD_BYTES = 8


class Outgoing:
    """Builds datagrams, adds updates to them and sends them."""

    __slots__ = (
        '_allowance',
        '_confirmation',
        '_rng',
        '_records',
        '_send_datagram',
        '_updates',
    )

    def __init__(
        self,
        *,
        records: MemberRecords,
        clock: Clock,
        rng: random.Random,
        send: DatagramSender,
        confirmation: StoreConfirmation,
    ) -> None:
        """Send datagrams with ``send``, which must not block.

        Each of them carries ``confirmation``.
        """
        self._records = records
        self._confirmation = confirmation
        self._rng = rng
        self._send_datagram = send
        self._updates = UpdateQueue()
        self._allowance = UpdateAllowance(clock=clock)
        records.add_observer(self._updates.push)

    def queued(self) -> int:
        """Return the number of queued updates."""
        return len(self._updates)

    def send(
        self,
        peer: PeerAddress,
        gossip: Message,
        *,
        introduce: bool = False,
    ) -> None:
        """Add sender, revision and updates to a datagram and send it.

        The record of a receiver believed suspect or dead comes first, so that
        it can refute. ``introduce`` adds the record of this node, for a
        receiver that may not have it.
        """
        local = self._records.local
        receiver = self._records.lookup(peer.node_id)
        leading = (
            [receiver]
            if receiver and receiver.state in _REFUTABLE_STATES
            else []
        )
        if introduce:
            leading.append(local)
        gossip.sender = local.peer.node_id
        gossip.revision = local.revision
        self._confirmation.add_to(gossip)
        gossip.updates = [encode_member(member) for member in leading]
        used_bytes = len(encode_struct(gossip)) + _LIST_OVERHEAD_BYTES
        remaining_bytes = min(
            MAX_DATAGRAM_BYTES - used_bytes, self._allowance.remaining_bytes()
        )
        if receiver is None or receiver.region != local.region:
            remaining_bytes = min(remaining_bytes, _MAX_FAR_BYTES)
        gossip.updates += self._updates.take(
            remaining_bytes, len(self._records)
        )
        datagram = encode_struct(gossip)
        self._allowance.spend(max(0, len(datagram) - used_bytes))
        self._send_datagram(datagram, peer.host, peer.port)

    def contact(self, host: str, port: int) -> None:
        """Send a probe and the local record to an address.

        Any process that listens there may answer it.
        """
        member = self._records.lookup_address(host, port)
        node_id = '' if member is None else member.peer.node_id
        peer = PeerAddress(node_id=node_id, host=host, port=port)
        probe = ttypes.Probe(sequence=0)
        self.send(peer, ttypes.Gossip(probe=probe), introduce=True)

    def forward_ack(self, probe: IndirectProbe | None) -> None:
        """Send the acknowledgement of an indirect probe to its requester.

        Nothing is sent for None.
        """
        if probe is not None:
            requester = PeerAddress(
                node_id='', host=probe.host, port=probe.port
            )
            ack = ttypes.ProbeAck(sequence=probe.sequence)
            self.send(requester, ttypes.Gossip(ack=ack))

    def disseminate(self, count: int, *, nearby: bool = False) -> None:
        """Send updates and table revision to ``count`` random members.

        With ``nearby`` these are members of the own region, if it has others.
        """
        receivers = self._sample_nearby(count) if nearby else self.sample(count)
        for member in receivers:
            self.send(member.peer, ttypes.Gossip())

    def sample(self, count: int, *, excluded_id: str = '') -> list[Member]:
        """Return up to ``count`` random live peers, without ``excluded_id``."""
        peers = self._records.live_peers()
        drawn = self._rng.sample(peers, min(count + 1, len(peers)))
        peers = [
            member for member in drawn if member.peer.node_id != excluded_id
        ]
        return peers[:count]

    def _sample_nearby(self, count: int) -> list[Member]:
        peers = self._records.live_peers()
        region = self._records.local.region
        nearby = [member for member in peers if member.region == region]
        candidates = nearby or peers
        return self._rng.sample(candidates, min(count, len(candidates)))
