"""Followers learn of revisions from peers and from the platform."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.document import TablesDocument
from savorystand.tables.follower import TablesFollower
from savorystand.tables.holder import TablesHolder
from savorystand.tables.tables import Tables
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio


class FakeMembership:
    """A directory with the own record only."""

    def __init__(self, name: str) -> None:
        """Start without a revision."""
        peer = PeerAddress(node_id=name, host='127.0.0.1', port=1)
        self.own = Member(
            peer=peer,
            started_ms=0,
            version=1,
            state=MemberState.SERVING,
            failure_domain='d',
            region='r',
            pool='p',
        )
        self.others: list[Member] = []

    def local_member(self) -> Member:
        return self.own

    def serving(self, pool: str) -> list[Member]:
        return []

    def lookup(self, node_id: str) -> Member | None:
        raise NotImplementedError

    def members(self) -> Iterable[Member]:
        return [self.own, *self.others]

    def announce(self, pool: str) -> None:
        """Not used."""

    def leave(self) -> None:
        """Not used."""

    def add_revision_observer(
        self,
        observer: Callable[[int, PeerAddress], None],
    ) -> None:
        """Not used: the test passes revisions on itself."""

    def set_revision(self, revision: int) -> None:
        assert revision > self.own.revision
        self.own = replace(self.own, revision=revision)

    def set_tables_responder(
        self,
        answer: Callable[[Message], Message | None],
    ) -> None:
        """Not used: the test asks the follower itself."""


class FakeSource:
    """The table service, which may be down."""

    def __init__(self) -> None:
        """Start without revisions."""
        self.down = False
        self.head = 0

    async def head_revision(self) -> int:
        self._check()
        return self.head

    async def fetch(self, revision: int) -> TablesDocument:
        self._check()
        return document(revision)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError('down')


def document(revision: int, size: int = 10) -> TablesDocument:
    """Return tables whose texts take several frames if ``size`` is large."""
    return TablesDocument(
        revision=revision,
        change_id=str(revision),
        routes='\u0905' * size,
        pools=str(revision) * size,
    )


def parse(text: TablesDocument) -> Tables:
    """Accept what ``document`` makes; reject every fifth revision."""
    assert text == document(text.revision, len(text.routes))
    if text.revision % 5 == 0:
        raise ValueError('rejected')
    return Tables(
        revision=text.revision, change_id=text.change_id, routes=(), pools=()
    )


def follower(
    name: str,
    source: FakeSource | None = None,
    others: Iterable[Member] = (),
) -> TablesFollower:
    """Return a follower with services of its own."""
    membership = FakeMembership(name)
    membership.others.extend(others)
    kernel = Kernel()
    kernel.register('clock', ManualClock())
    kernel.register('tables', TablesHolder())
    kernel.register('membership', membership)
    return TablesFollower(
        kernel=kernel, parse=parse, source=source, rng=random.Random(1)
    )


def pull(
    left: TablesFollower, right: TablesFollower, peer: PeerAddress
) -> None:
    """Let ``left`` pull what ``right`` has, as over a connection."""
    begun = left.begin_pull()
    assert begun is not None
    request: Message | None = begun[1]
    while request is not None:
        reply = right.answer(request)
        if reply is None:
            return
        encode_frame(reply)
        request = left.accept(peer, reply)


async def test_replaced_node_gets_large_tables_while_source_is_down() -> None:
    """An outage of the table service must not leave new nodes unusable."""
    old = follower('old')
    old.install(document(7, size=50000))
    source = FakeSource()
    source.down = True
    new = follower('new', source)
    with pytest.raises(StoreUnavailableError):
        await new.reader.read()
    peer = PeerAddress(node_id='old', host='127.0.0.1', port=1)
    new.observe_revision(7, peer)
    pull(new, old, peer)
    assert new.revision() == 7
    assert new.begin_pull() is None


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(('peer', 'source', 'late')), st.integers(1, 30)
        ),
        max_size=20,
    ),
)
async def test_revisions_never_go_back(steps: list[tuple[str, int]]) -> None:
    """Neither a stale peer nor a stale answer may revert a change.

    The oracle is the newest valid revision that was offered.
    """
    source = FakeSource()
    node = follower('node', source)
    newest = 0
    for kind, revision in steps:
        if kind == 'source':
            source.head = revision
            await node.reader.read()
        elif kind == 'peer':
            offer(node, revision)
        else:
            node.install(document(revision))
        if revision % 5:
            newest = max(newest, revision)
        assert node.revision() == newest


def offer(node: TablesFollower, revision: int) -> None:
    """Let a node hear of a peer with a revision, and pull it."""
    other = follower('other')
    other.install(document(revision))
    peer = PeerAddress(node_id='other', host='127.0.0.1', port=1)
    node.observe_revision(other.revision(), peer)
    if node.begin_pull() is not None:
        pull(node, other, peer)


async def test_two_readers_a_failure_domain() -> None:
    """The table service must not be read by every node."""
    members = [FakeMembership(str(number)).own for number in range(9)]
    revisions = []
    for own in members:
        source = FakeSource()
        others = [member for member in members if member is not own]
        node = follower(own.peer.node_id, source, others)
        node.install(document(1))
        source.head = 2
        await node.reader.read()
        revisions.append(node.revision())
    assert revisions.count(2) == 2
