"""Pulls the texts of a revision, part after part, from a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.tables.parts import PartAssembly
from savorystand.wire.codec import Message
from savorystand.wire.codec import require_fields
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    import random

    from savorystand.tables.document import TablesDocument
    from savorystand.transport.address import PeerAddress

# Bound on the peers remembered as having news.
_MAX_HOLDERS = 16


class TablesPuller:
    """Peers that have news, and the pull in progress."""

    __slots__ = ('_assembly', '_holders', '_rng', 'malformed', 'peer')

    def __init__(self, *, rng: random.Random) -> None:
        """Start without news."""
        self._rng = rng
        self._holders: dict[PeerAddress, int] = {}
        self._assembly = PartAssembly()
        # The peer that is being asked.
        self.peer: PeerAddress | None = None
        # Parts dropped so far.
        self.malformed = 0

    def __len__(self) -> int:
        """Return the number of peers that have news."""
        return len(self._holders)

    def observe_revision(self, revision: int, peer: PeerAddress) -> bool:
        """Note that a peer has a revision; return False if it is ignored."""
        if peer not in self._holders and len(self) >= _MAX_HOLDERS:
            return False
        self._holders[peer] = revision
        return True

    def keep_newer(self, revision: int) -> None:
        """Forget the peers that have nothing newer than ``revision``."""
        self._holders = {
            peer: held
            for peer, held in self._holders.items()
            if held > revision
        }

    def begin(self) -> PeerAddress | None:
        """Choose a peer with the newest revision heard of."""
        self._assembly = PartAssembly()
        self.peer = None
        if self._holders:
            newest = max(self._holders.values())
            self.peer = self._rng.choice(
                [
                    peer
                    for peer, revision in self._holders.items()
                    if revision == newest
                ],
            )
        return self.peer

    def request(self, known_revision: int) -> Message:
        """Return the frame that asks for the next part."""
        pull = ttypes.TablesPull(
            known_revision=known_revision,
            part=self._assembly.received(),
            revision=self._assembly.revision,
        )
        return ttypes.Frame(tables_pull=pull)

    def accept(self, push: Message) -> TablesDocument | None:
        """Take in a part from the peer; return the document once whole."""
        try:
            require_fields(push)
            return self._assembly.add(push)
        except FrameError:
            self.malformed += 1
            self.drop()
            return None

    def drop(self) -> None:
        """Give up on the peer; gossip will name it again if it has news."""
        if self.peer is not None:
            self._holders.pop(self.peer, None)
            self.peer = None
