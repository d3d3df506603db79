"""Direct and indirect probes that await an acknowledgement."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.transport.address import PeerAddress

# Time until indirect probes are requested: twice the longest round trip between
# regions, with a margin for busy nodes.
DIRECT_TIMEOUT_MS = 300
# A probe has failed when the next regular one is due.
PROBE_TIMEOUT_MS = 1000
# Bounds concurrent probes: a failed region must not cause a burst of them.
MAX_PROBES = 16
# Bounds the memory that requests of other nodes take up.
MAX_INDIRECT_PROBES = 256


@final
@dataclass(slots=True, kw_only=True)
class PendingProbe:
    """A probe of this node.

    ``relays`` are the node ids that were asked for indirect probes.
    """

    peer: PeerAddress
    sent_ms: float
    relays: set[str] = field(default_factory=set)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class IndirectProbe:
    """A probe of ``target`` on behalf of the node at ``host`` and ``port``.

    ``target`` is a node id. ``sequence`` is the number that the requester gave
    its own probe.
    """

    target: str
    host: str
    port: int
    sequence: int
    sent_ms: float


class PendingProbes:
    """Direct and indirect probes by the sequence number of this node."""

    __slots__ = ('_probes', '_indirect_probes', '_sequence')

    def __init__(self) -> None:
        """Create an empty collection."""
        self._sequence = 0
        self._probes: dict[int, PendingProbe] = {}
        self._indirect_probes: dict[int, IndirectProbe] = {}

    def begin(self, peer: PeerAddress, now: float) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        self._probes[self._sequence] = PendingProbe(peer=peer, sent_ms=now)
        return self._sequence

    def begin_indirect(self, probe: IndirectProbe) -> int | None:
        """Record an indirect probe and return its sequence number.

        Return None if there are ``MAX_INDIRECT_PROBES`` already.
        """
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            return None
        self._sequence += 1
        self._indirect_probes[self._sequence] = probe
        return self._sequence

    def may_probe(self, node_id: str) -> bool:
        """Return False if it is being probed or ``MAX_PROBES`` are pending."""
        if len(self._probes) >= MAX_PROBES:
            return False
        return all(
            pending.peer.node_id != node_id for pending in self._probes.values()
        )

    def acknowledge(self, sequence: int, sender: str) -> IndirectProbe | None:
        """End a probe if its member or one of its relays acknowledged it.

        An acknowledgement of another process at the member's address is
        ignored. Return the indirect probe that has ended, if any.
        """
        pending = self._probes.get(sequence)
        if pending is not None:
            if sender == pending.peer.node_id or sender in pending.relays:
                del self._probes[sequence]
            return None
        indirect = self._indirect_probes.get(sequence)
        if indirect is None or indirect.target != sender:
            return None
        return self._indirect_probes.pop(sequence)

    def unanswered(self, now: float) -> list[tuple[int, PendingProbe]]:
        """Return the probes past ``DIRECT_TIMEOUT_MS`` without relays yet."""
        return [
            (sequence, pending)
            for sequence, pending in self._probes.items()
            if pending.sent_ms + DIRECT_TIMEOUT_MS <= now and not pending.relays
        ]

    def take_failed(self, now: float) -> list[PeerAddress]:
        """Remove the probes past ``PROBE_TIMEOUT_MS``.

        Return the peers of the direct probes among them.
        """
        for expired, probe in list(self._indirect_probes.items()):
            if probe.sent_ms + PROBE_TIMEOUT_MS <= now:
                del self._indirect_probes[expired]
        failed = [
            sequence
            for sequence, pending in self._probes.items()
            if pending.sent_ms + PROBE_TIMEOUT_MS <= now
        ]
        return [self._probes.pop(sequence).peer for sequence in failed]

    def clear(self) -> None:
        """Remove all probes without a failure, as after a pause."""
        self._probes.clear()
        self._indirect_probes.clear()
