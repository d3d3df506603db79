"""Pulls the texts of a revision from a peer, one part at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.tables.parts import PartAssembly
from savorystand.wire.codec import Message
from savorystand.wire.codec import require_fields
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorystand.tables.document import TablesDocument
    from savorystand.transport.address import PeerAddress

# Bounds the peers recorded with a newer revision.
_MAX_PEERS = 16


class TablesPuller:
    """Tracks peers with a newer revision and the pull in progress."""

    __slots__ = (
        '_assembly',
        '_distance',
        '_peer_revisions',
        '_rng',
        'malformed_parts',
        'peer',
    )

    def __init__(
        self, *, rng: random.Random, distance: Callable[[PeerAddress], int]
    ) -> None:
        """Start without peers; ``rng`` chooses among equal ones.

        ``distance`` returns a greater number for a peer that is farther away.
        """
        self._rng = rng
        self._distance = distance
        self._peer_revisions: dict[PeerAddress, int] = {}
        self._assembly = PartAssembly()
        # The peer from which a revision is being pulled.
        self.peer: PeerAddress | None = None
        # Number of malformed parts received so far.
        self.malformed_parts = 0

    def __len__(self) -> int:
        """Return the number of peers with a newer revision."""
        return len(self._peer_revisions)

    def observe_revision(self, revision: int, peer: PeerAddress) -> bool:
        """Record a peer's revision.

        Return False if the list is full and no peer in it has an older one.
        """
        revisions = self._peer_revisions
        if peer not in revisions and len(self) >= _MAX_PEERS:
            oldest = min(revisions, key=revisions.__getitem__)
            if revisions[oldest] >= revision:
                return False
            del revisions[oldest]
        revisions[peer] = revision
        return True

    def forget_older(self, revision: int) -> None:
        """Remove the peers without a revision newer than ``revision``."""
        self._peer_revisions = {
            peer: peer_revision
            for peer, peer_revision in self._peer_revisions.items()
            if peer_revision > revision
        }

    def select_peer(self) -> PeerAddress | None:
        """Start a pull from a peer among those with the newest revision.

        It is a random one of the nearest. Return None if no peer has a newer
        revision.
        """
        self._assembly = PartAssembly()
        self.peer = None
        if self._peer_revisions:
            newest = max(self._peer_revisions.values())
            holders = [
                peer
                for peer, revision in self._peer_revisions.items()
                if revision == newest
            ]
            nearest = min(map(self._distance, holders))
            self.peer = self._rng.choice(
                [peer for peer in holders if self._distance(peer) == nearest]
            )
        return self.peer

    def request(self, known_revision: int) -> Message:
        """Return the frame that requests the next part."""
        pull = ttypes.TablesPull(
            known_revision=known_revision,
            part=self._assembly.received(),
            revision=self._assembly.revision,
        )
        return ttypes.Frame(tables_pull=pull)

    def accept(self, push: Message) -> TablesDocument | None:
        """Add a part from the peer; return the document once complete.

        A malformed part ends the pull.
        """
        try:
            require_fields(push)
            return self._assembly.add(push)
        except FrameError:
            self.malformed_parts += 1
            self.drop_peer()
            return None

    def drop_peer(self) -> None:
        """End the pull and forget the peer until gossip announces it again."""
        if self.peer is not None:
            self._peer_revisions.pop(self.peer, None)
            self.peer = None
