"""Probes that await an acknowledgement, of this node and relayed."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.transport.address import PeerAddress

# Twice the longest round trip between regions, with a margin for busy nodes.
DIRECT_TIMEOUT_MS = 300
# A probe fails when the next regular one starts.
PROBE_TIMEOUT_MS = 1000
# Bounds concurrent probes: a failed region must not cause a burst of them.
MAX_PROBES = 16
# Bounds the memory that requests of other nodes can take.
MAX_RELAYS = 256


@final
@dataclass(slots=True, kw_only=True)
class PendingProbe:
    """A probe of this node; ``relays`` are node ids asked to probe too."""

    peer: PeerAddress
    sent_ms: float
    relays: set[str] = field(default_factory=set)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Relay:
    """A probe requested by the node at ``host`` and ``port``."""

    target: str
    host: str
    port: int
    sequence: int
    sent_ms: float


class PendingProbes:
    """Probes by sequence number."""

    __slots__ = ('_probes', '_relays', '_sequence')

    def __init__(self) -> None:
        """Create an empty collection."""
        self._sequence = 0
        self._probes: dict[int, PendingProbe] = {}
        self._relays: dict[int, Relay] = {}

    def begin(self, peer: PeerAddress, now: float) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        self._probes[self._sequence] = PendingProbe(peer=peer, sent_ms=now)
        return self._sequence

    def begin_relay(self, relay: Relay) -> int | None:
        """Record a probe for another node; None if there are too many."""
        if len(self._relays) >= MAX_RELAYS:
            return None
        self._sequence += 1
        self._relays[self._sequence] = relay
        return self._sequence

    def may_probe(self, node_id: str) -> bool:
        """Return True unless it is being probed or too many members are."""
        if len(self._probes) >= MAX_PROBES:
            return False
        return all(
            pending.peer.node_id != node_id for pending in self._probes.values()
        )

    def acknowledge(self, sequence: int, sender: str) -> Relay | None:
        """End a probe if its member or one of its relays acknowledged it.

        An acknowledgement of another process at the member's address is
        ignored. Return the relay if another node requested the probe.
        """
        pending = self._probes.get(sequence)
        if pending is not None:
            if sender == pending.peer.node_id or sender in pending.relays:
                del self._probes[sequence]
            return None
        relay = self._relays.get(sequence)
        if relay is None or relay.target != sender:
            return None
        return self._relays.pop(sequence)

    def unanswered(self, now: float) -> list[tuple[int, PendingProbe]]:
        """Return the probes past ``DIRECT_TIMEOUT_MS`` without relays."""
        return [
            (sequence, pending)
            for sequence, pending in self._probes.items()
            if pending.sent_ms + DIRECT_TIMEOUT_MS <= now and not pending.relays
        ]

    def failed(self, now: float) -> list[PeerAddress]:
        """Remove the probes that have failed and return their members."""
        for old, relay in list(self._relays.items()):
            if relay.sent_ms + PROBE_TIMEOUT_MS <= now:
                del self._relays[old]
        over = [
            sequence
            for sequence, pending in self._probes.items()
            if pending.sent_ms + PROBE_TIMEOUT_MS <= now
        ]
        return [self._probes.pop(sequence).peer for sequence in over]

    def clear(self) -> None:
        """Forget all probes, as this process was paused."""
        self._probes.clear()
        self._relays.clear()
