"""Probes that await an acknowledgement, and probes made for others."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.transport.address import PeerAddress

# Twice the longest round trip between regions, and room for a busy node.
DIRECT_MS = 300
# A probe is given up when the next one starts.
PROBE_MS = 1000
# Bound on probes at a time: a failed region must not cause a burst of them.
MAX_PROBES = 16
# Bound on what other nodes can make this one remember.
MAX_RELAYS = 256


@final
@dataclass(slots=True, kw_only=True)
class Probing:
    """One probe of this node; ``relays`` are the node ids asked to help."""

    peer: PeerAddress
    sent_ms: float
    relays: set[str] = field(default_factory=set)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Relay:
    """A probe made for the node at ``host`` and ``port``."""

    target: str
    host: str
    port: int
    sequence: int
    sent_ms: float


class PendingProbes:
    """Probes by sequence number."""

    __slots__ = ('_probes', '_relays', '_sequence')

    def __init__(self) -> None:
        """Start without probes."""
        self._sequence = 0
        self._probes: dict[int, Probing] = {}
        self._relays: dict[int, Relay] = {}

    def begin(self, peer: PeerAddress, now: float) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        self._probes[self._sequence] = Probing(peer=peer, sent_ms=now)
        return self._sequence

    def begin_relay(self, relay: Relay) -> int | None:
        """Record a probe for another node; None if there are too many."""
        if len(self._relays) >= MAX_RELAYS:
            return None
        self._sequence += 1
        self._relays[self._sequence] = relay
        return self._sequence

    def may_check(self, node_id: str) -> bool:
        """Return True if that member may be probed out of turn."""
        if len(self._probes) >= MAX_PROBES:
            return False
        return all(
            probing.peer.node_id != node_id for probing in self._probes.values()
        )

    def acknowledge(self, sequence: int, sender: str) -> Relay | None:
        """End a probe if the right member has answered.

        Another process at the member's address does not answer for it. The
        relay is returned if the probe was made for another node.
        """
        probing = self._probes.get(sequence)
        if probing is not None:
            if sender == probing.peer.node_id or sender in probing.relays:
                del self._probes[sequence]
            return None
        relay = self._relays.get(sequence)
        if relay is None or relay.target != sender:
            return None
        return self._relays.pop(sequence)

    def unanswered(self, now: float) -> list[tuple[int, Probing]]:
        """Return the probes that need help: direct time over, no relays."""
        return [
            (sequence, probing)
            for sequence, probing in self._probes.items()
            if probing.sent_ms + DIRECT_MS <= now and not probing.relays
        ]

    def failed(self, now: float) -> list[PeerAddress]:
        """Remove the probes that have failed and return their members."""
        for old, relay in list(self._relays.items()):
            if relay.sent_ms + PROBE_MS <= now:
                del self._relays[old]
        over = [
            sequence
            for sequence, probing in self._probes.items()
            if probing.sent_ms + PROBE_MS <= now
        ]
        return [self._probes.pop(sequence).peer for sequence in over]

    def clear(self) -> None:
        """Forget all probes, as this process was paused."""
        self._probes.clear()
        self._relays.clear()
