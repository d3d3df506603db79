"""Fetches accepted revisions of the tables and installs them."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias
from typing import runtime_checkable

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory
from savorystand.membership.distance import Distance
from savorystand.membership.distance import distance_between
from savorystand.reporting.events import tables_received
from savorystand.reporting.events import tables_rejected
from savorystand.reporting.logs import EventLog
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedReader
from savorystand.tables.holder import TablesHolder
from savorystand.tables.parts import count_parts
from savorystand.tables.parts import part_frame
from savorystand.tables.platform_reader import PlatformReader
from savorystand.tables.pulling import TablesPuller
from savorystand.tables.tables import Tables
from savorystand.transport.errors import ConnectionLostError
from savorystand.transport.peers import PeerTransport

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.document import TablesSource
    from savorystand.tables.feed_reader import ConfigurationFeed
    from savorystand.tables.platform_reader import SnapshotReader
    from savorystand.transport.address import PeerAddress
    from savorystand.wire.codec import Message

# A peer that has not sent a part within this time is replaced by another one.
_PART_TIMEOUT_MS = 500
# A peer in another region is asked this part of the time to apply a change after
# it has announced a revision. A nearer one usually has it by then.
_FAR_PULL_FRACTION = 0.02
# Time within which an accepted change is in force on all nodes.
_APPLY_MS = 8000

Parser: TypeAlias = Callable[[TablesDocument], Tables]


@runtime_checkable
class RevisionGossip(MemberDirectory, Protocol):
    """Membership that disseminates revision numbers of the tables."""

    def add_revision_observer(
        self,
        observer: Callable[[int, PeerAddress], None],
    ) -> None:
        """Call ``observer`` with a newer revision and the peer that has it."""

    def set_revision(self, revision: int) -> None:
        """Record the revision in force on the local node."""

    def set_tables_responder(
        self,
        responder: Callable[[Message], Message | None],
    ) -> None:
        """Answer the ``TablesPull`` frames of peers with ``responder``."""


class TablesFollower(Service):
    """Installs revisions from peers and from the platform.

    Gossip announces the revisions that peers have. A reader also follows the
    table service.
    """

    __slots__ = (
        '_apply_ms',
        '_clock',
        '_distance',
        '_document',
        '_feed_reader',
        '_holder',
        '_kernel',
        '_membership',
        '_next_request',
        '_parse',
        '_part_received',
        '_pull_needed',
        '_puller',
        '_rejected',
        'reader',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        parse: Parser,
        source: TablesSource | None,
        snapshot: SnapshotReader | None = None,
        feed: ConfigurationFeed | None = None,
        apply_ms: float = _APPLY_MS,
        rng: random.Random | None = None,
    ) -> None:
        """Use the services ``tables``, ``membership`` and ``clock``.

        ``parse`` raises ``ValueError`` for invalid tables. ``snapshot`` reads
        the newest snapshot in the object store; like ``source`` it raises
        ``StoreError``. With a ``feed`` the node follows only that in place of
        ``source`` and ``snapshot``, and asks it often enough for a change to
        be in force ``apply_ms`` milliseconds after it was accepted.
        """
        self._kernel = kernel
        self._holder = kernel.find('tables', TablesHolder)
        self._membership = kernel.find('membership', RevisionGossip)
        self._parse = parse
        shared_rng = rng or random.Random()
        self._clock = kernel.find('clock', Clock)
        self._apply_ms = apply_ms
        self._distance = partial(_distance, self._membership)
        self._puller = TablesPuller(rng=shared_rng, distance=self._distance)
        self.reader = PlatformReader(
            clock=self._clock,
            directory=self._membership,
            tables=self,
            source=source,
            snapshot=snapshot,
            rng=shared_rng,
        )
        self._feed_reader: FeedReader | None = None
        if feed is not None:
            self._feed_reader = FeedReader(
                kernel=kernel,
                feed=feed,
                tables=self,
                rng=shared_rng,
                apply_ms=apply_ms,
            )
        self._document: TablesDocument | None = None
        # The last change that could not be parsed. Its revision is not fetched
        # from peers again.
        self._rejected: TablesDocument | None = None
        self._pull_needed = anyio.Event()
        self._part_received = anyio.Event()
        self._next_request: Message | None = None
        self._membership.add_revision_observer(self.observe_revision)
        self._membership.set_tables_responder(self.respond)

    def revision(self) -> int:
        """Return the revision in force, 0 if there is none."""
        return self._holder.current().revision

    def can_install(self, revision: int) -> bool:
        """Return True if a revision is newer and was not rejected."""
        rejected = self._rejected
        if rejected is not None and revision == rejected.revision:
            return False
        return revision > self.revision()

    def observe_revision(self, revision: int, peer: PeerAddress) -> None:
        """Record that a peer has a revision and start a pull if it is new."""
        if not self.can_install(revision):
            return
        if self._feed_reader is not None:
            self._feed_reader.expect(revision)
        if not self._puller.observe_revision(revision, peer):
            return
        if self._distance(peer) < Distance.OTHER_REGION:
            self._pull_needed.set()
        else:
            self._clock.call_later(
                self._apply_ms * _FAR_PULL_FRACTION, self._pull_needed.set
            )

    def respond(self, frame: Message) -> Message | None:
        """Return the part that a ``TablesPull`` frame requests, if any."""
        pull = frame.tables_pull
        document = self._document
        if document is None or pull.known_revision is None:
            return None
        if pull.known_revision >= document.revision:
            return None
        # If the requested revision was replaced, the newest one is sent from
        # its first part.
        same_revision = pull.revision == document.revision
        part = (pull.part or 0) if same_revision else 0
        if not 0 <= part < count_parts(document):
            return None
        return part_frame(document, part)

    def begin_pull(self) -> tuple[PeerAddress, Message] | None:
        """Return a peer with a newer revision and the first request to it."""
        peer = self._puller.select_peer()
        if peer is None:
            return None
        return peer, self._puller.request(self.revision())

    def accept(self, peer: PeerAddress, frame: Message) -> Message | None:
        """Add a part and return the request for the next one, if any."""
        if frame.tables_push is None or peer != self._puller.peer:
            return None
        document = self._puller.accept(frame.tables_push)
        if document is not None:
            self._puller.drop_peer()
            used = self.install(document)
            self._log().write(
                tables_received(document, used=used, source=peer.node_id)
            )
        if self._puller.peer is None:
            return None
        return self._puller.request(self.revision())

    def install(self, document: TablesDocument) -> bool:
        """Parse and install a document; return False if it is not used.

        A revision that was rejected is used once it has other texts. One that
        is in force keeps its texts: nodes that follow different sources would
        otherwise not agree on it.
        """
        if document.revision <= self.revision() or document == self._rejected:
            self._report_conflict(document)
            return False
        try:
            tables = self._parse(document)
        except ValueError as exc:
            self._rejected = document
            self._log().write(tables_rejected(document, str(exc)))
            return False
        if not self._holder.install(tables):
            return False
        self._document = document
        self._puller.forget_older(document.revision)
        self._membership.set_revision(document.revision)
        return True

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Pull from peers and read the platform until cancelled."""
        transport = self._kernel.find('transport', PeerTransport)
        transport.add_control_observer(self._receive_part)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_peers, transport)
            tasks.start_soon((self._feed_reader or self.reader).run)
            task_status.started()

    def _report_conflict(self, document: TablesDocument) -> None:
        current = self._document
        if current is None or document.revision != current.revision:
            return
        if (document.routes, document.pools) != (current.routes, current.pools):
            problem = 'a revision with other texts is in force'
            self._log().write(tables_rejected(document, problem))

    def _log(self) -> EventLog:
        return self._kernel.find('log', EventLog)

    async def _follow_peers(self, transport: PeerTransport) -> None:
        while True:
            await self._pull_needed.wait()
            self._pull_needed = anyio.Event()
            next_pull = self.begin_pull()
            while next_pull is not None:
                await self._pull(transport, *next_pull)
                next_pull = self.begin_pull()

    async def _pull(
        self,
        transport: PeerTransport,
        peer: PeerAddress,
        frame: Message | None,
    ) -> None:
        while frame is not None:
            self._part_received = anyio.Event()
            try:
                await transport.send(peer, frame)
            except ConnectionLostError:
                self._puller.drop_peer()
                return
            with anyio.move_on_after(_PART_TIMEOUT_MS / MS_PER_SECOND):
                await self._part_received.wait()
            if not self._part_received.is_set():
                self._puller.drop_peer()
            frame = self._next_request
            self._next_request = None

    def _receive_part(self, peer: PeerAddress, frame: Message) -> None:
        if frame.tables_push is not None:
            self._next_request = self.accept(peer, frame)
            self._part_received.set()


def _distance(directory: MemberDirectory, peer: PeerAddress) -> Distance:
    member = directory.lookup(peer.node_id)
    return distance_between(member, directory.local_member())
