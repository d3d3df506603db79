"""Learns accepted revisions and puts them into force."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias
from typing import runtime_checkable

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory
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

# What a peer gets for one part; then another peer is asked.
_PART_MS = 500

Parser: TypeAlias = Callable[[TablesDocument], Tables]


@runtime_checkable
class RevisionGossip(MemberDirectory, Protocol):
    """What the follower asks of membership."""

    def add_revision_observer(
        self,
        observer: Callable[[int, PeerAddress], None],
    ) -> None:
        """Pass newer table revisions and the peer that has them on."""

    def set_revision(self, revision: int) -> None:
        """Record the own table revision."""

    def set_tables_responder(
        self,
        responder: Callable[[Message], Message | None],
    ) -> None:
        """Let ``responder`` reply to the ``TablesPull`` frames of peers."""


class TablesFollower(Service):
    """Follows revisions in gossip and, as a reader, in the table service."""

    __slots__ = (
        '_arrived',
        '_document',
        '_feed_reader',
        '_holder',
        '_kernel',
        '_membership',
        '_news',
        '_next',
        '_parse',
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
        rng: random.Random | None = None,
    ) -> None:
        """Follow with the services of ``kernel``.

        ``parse`` raises ``ValueError`` for tables that are not valid.
        ``snapshot`` reads the newest snapshot in the object store; like
        ``source`` it raises ``StoreError``. With a ``feed`` the node follows
        that in place of reading the others in its turn.
        """
        self._kernel = kernel
        self._holder = kernel.find('tables', TablesHolder)
        self._membership = kernel.find('membership', RevisionGossip)
        self._parse = parse
        chance = rng or random.Random()
        self._puller = TablesPuller(rng=chance)
        self.reader = PlatformReader(
            clock=kernel.find('clock', Clock),
            directory=self._membership,
            tables=self,
            source=source,
            snapshot=snapshot,
            rng=chance,
        )
        self._feed_reader = feed and FeedReader(
            kernel=kernel, feed=feed, tables=self, rng=chance
        )
        self._document: TablesDocument | None = None
        # Newest revision that could not be parsed; it is not fetched again.
        self._rejected = 0
        self._news = anyio.Event()
        self._arrived = anyio.Event()
        self._next: Message | None = None
        self._membership.add_revision_observer(self.observe_revision)
        self._membership.set_tables_responder(self.answer)

    def revision(self) -> int:
        """Return the revision in force, 0 if there is none."""
        return self._holder.current().revision

    def wants(self, revision: int) -> bool:
        """Return True if a revision is newer and was not found invalid."""
        return revision > self.revision() and revision != self._rejected

    def observe_revision(self, revision: int, peer: PeerAddress) -> None:
        """Note that a peer has a revision."""
        if self.wants(revision) and self._puller.observe_revision(
            revision, peer
        ):
            self._news.set()

    def answer(self, frame: Message) -> Message | None:
        """Return the part that a ``TablesPull`` frame asks for."""
        pull = frame.tables_pull
        document = self._document
        if document is None or pull.known_revision is None:
            return None
        if pull.known_revision >= document.revision:
            return None
        # If the revision asked for was replaced, the newest starts anew.
        same = pull.revision == document.revision
        part = (pull.part or 0) if same else 0
        if not 0 <= part < count_parts(document):
            return None
        return part_frame(document, part)

    def begin_pull(self) -> tuple[PeerAddress, Message] | None:
        """Return a peer that has news and the frame to send to it."""
        peer = self._puller.begin()
        if peer is None:
            return None
        return peer, self._puller.request(self.revision())

    def accept(self, peer: PeerAddress, frame: Message) -> Message | None:
        """Take in a part and return the frame that asks for the next one."""
        if frame.tables_push is None or peer != self._puller.peer:
            return None
        document = self._puller.accept(frame.tables_push)
        if document is not None:
            self._puller.drop()
            self.install(document)
        if self._puller.peer is None:
            return None
        return self._puller.request(self.revision())

    def install(self, document: TablesDocument) -> bool:
        """Put a document into force; return False if it cannot be."""
        if not self.wants(document.revision):
            return False
        try:
            tables = self._parse(document)
        except ValueError:
            self._rejected = document.revision
            return False
        if not self._holder.install(tables):
            return False
        self._document = document
        self._puller.keep_newer(document.revision)
        self._membership.set_revision(document.revision)
        return True

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Follow peers and the platform until cancelled."""
        transport = self._kernel.find('transport', PeerTransport)
        transport.add_control_observer(self._hear_part)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_peers, transport)
            tasks.start_soon((self._feed_reader or self.reader).run)
            task_status.started()

    async def _follow_peers(self, transport: PeerTransport) -> None:
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            begun = self.begin_pull()
            while begun is not None:
                await self._pull(transport, *begun)
                begun = self.begin_pull()

    async def _pull(
        self,
        transport: PeerTransport,
        peer: PeerAddress,
        frame: Message | None,
    ) -> None:
        while frame is not None:
            self._arrived = anyio.Event()
            try:
                await transport.send(peer, frame)
            except ConnectionLostError:
                self._puller.drop()
                return
            with anyio.move_on_after(_PART_MS / MS_PER_SECOND):
                await self._arrived.wait()
            if not self._arrived.is_set():
                self._puller.drop()
            frame = self._next
            self._next = None

    def _hear_part(self, peer: PeerAddress, frame: Message) -> None:
        if frame.tables_push is not None:
            self._next = self.accept(peer, frame)
            self._arrived.set()
