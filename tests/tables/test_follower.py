"""Guards against nodes without tables and against reverted revisions.

A new node must get the tables from its peers while the table service is down.
Stale peers and late responses must not replace newer tables. Only two nodes of
a failure domain may read the table service.
"""

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
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.document import TablesDocument
from savorystand.tables.follower import TablesFollower
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pulling import TablesPuller
from savorystand.tables.tables import Tables
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio


class FakeMembership:
    """Membership with fixed members that receives no gossip."""

    def __init__(self, name: str) -> None:
        """Start as a serving member without tables and without peers."""
        peer = PeerAddress(node_id=name, host='127.0.0.1', port=1)
        self.local = Member(
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
        return self.local

    def serving(self, pool: str) -> list[Member]:
        return []

    def lookup(self, node_id: str) -> Member | None:
        by_id = {member.peer.node_id: member for member in self.others}
        return by_id.get(node_id)

    def members(self) -> Iterable[Member]:
        return [self.local, *self.others]

    def announce(self, pool: str) -> None:
        """Not used."""

    def leave(self) -> None:
        """Not used."""

    def spread_confirmation(self) -> None:
        """Do nothing: the peers receive no gossip either."""

    def add_revision_observer(
        self,
        observer: Callable[[int, PeerAddress], None],
    ) -> None:
        """Not used: the tests call the follower instead."""

    def set_revision(self, revision: int) -> None:
        assert revision > self.local.revision
        self.local = replace(self.local, revision=revision)

    def set_tables_responder(
        self,
        responder: Callable[[Message], Message | None],
    ) -> None:
        """Not used: the tests call the follower instead."""


class FakeSource:
    """Table service that may be unavailable."""

    def __init__(self) -> None:
        """Start available and without revisions."""
        self.down = False
        self.head = 0

    async def head_revision(self) -> int:
        self._check()
        return self.head

    async def fetch(self, revision: int) -> TablesDocument:
        self._check()
        return make_document(revision)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError('down')


def make_document(revision: int, size: int = 10) -> TablesDocument:
    """Return tables with texts of at least ``size`` characters."""
    return TablesDocument(
        revision=revision,
        change_id=str(revision),
        routes='\u0905' * size,
        pools=str(revision) * size,
    )


def parse(text: TablesDocument) -> Tables:
    """Parse a text of ``make_document``; reject each fifth revision."""
    assert text == make_document(text.revision, len(text.routes))
    if text.revision % 5 == 0:
        raise ValueError('rejected')
    return Tables(
        revision=text.revision, change_id=text.change_id, routes=(), pools=()
    )


def make_follower(
    name: str,
    source: FakeSource | None = None,
    others: Iterable[Member] = (),
    parse: Callable[[TablesDocument], Tables] = parse,
) -> TablesFollower:
    """Return a follower with its own services."""
    membership = FakeMembership(name)
    membership.others.extend(others)
    kernel = Kernel()
    kernel.register('clock', ManualClock())
    kernel.register('tables', TablesHolder())
    kernel.register('log', EventLog(clock=ManualClock(), node_id='aa'))
    kernel.register('membership', membership)
    return TablesFollower(
        kernel=kernel, parse=parse, source=source, rng=random.Random(1)
    )


def run_pull(
    puller: TablesFollower, responder: TablesFollower, peer: PeerAddress
) -> None:
    """Let ``puller`` pull the tables of ``responder`` part by part."""
    pull_start = puller.begin_pull()
    assert pull_start is not None
    request: Message | None = pull_start[1]
    while request is not None:
        response = responder.respond(request)
        if response is None:
            return
        encode_frame(response)
        request = puller.accept(peer, response)


async def test_replaced_node_gets_large_tables_while_source_is_down() -> None:
    """A new node must get tables from a peer during an outage."""
    old = make_follower('old')
    old.install(make_document(7, size=50000))
    source = FakeSource()
    source.down = True
    new = make_follower('new', source)
    with pytest.raises(StoreUnavailableError):
        await new.reader.read()
    peer = PeerAddress(node_id='old', host='127.0.0.1', port=1)
    new.observe_revision(7, peer)
    run_pull(new, old, peer)
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
    """Neither a stale peer nor a late response may revert a change.

    The node must have the newest valid revision that was offered.
    """
    source = FakeSource()
    node = make_follower('node', source)
    newest = 0
    for kind, revision in steps:
        if kind == 'source':
            source.head = revision
            await node.reader.read()
        elif kind == 'peer':
            offer_revision(node, revision)
        else:
            node.install(make_document(revision))
        if revision % 5:
            newest = max(newest, revision)
        assert node.revision() == newest


def offer_revision(node: TablesFollower, revision: int) -> None:
    """Announce a peer with a revision to a node, which may pull it."""
    other = make_follower('other')
    other.install(make_document(revision))
    peer = PeerAddress(node_id='other', host='127.0.0.1', port=1)
    node.observe_revision(other.revision(), peer)
    if node.begin_pull() is not None:
        run_pull(node, other, peer)


# Guards against a valid change that is refused since an earlier document with its
# revision could not be parsed.
def test_corrected_document_of_a_rejected_revision_is_installed() -> None:
    """A bad copy from one source must not hide the good one of another."""
    rejected = True

    def parse_unless_rejected(document: TablesDocument) -> Tables:
        if rejected:
            raise ValueError('rejected')
        return parse(document)

    node = make_follower('node', parse=parse_unless_rejected)
    assert not node.install(replace(make_document(7), change_id='bad'))
    assert not node.install(replace(make_document(7), change_id='bad'))
    rejected = False
    assert node.install(make_document(7))
    assert node.revision() == 7


# Guards against nodes that disagree on a revision.
def test_revision_in_force_keeps_its_texts() -> None:
    """A document with the same revision and other texts changes nothing."""
    node = make_follower('node')
    node.install(make_document(7))
    assert not node.install(make_document(7, size=3))
    pull = TablesPuller(rng=random.Random(1), distance=lambda peer: 0).request(
        0
    )
    response = node.respond(pull)
    assert response is not None
    assert response.tables_push.routes == make_document(7).routes


# Guards against a change that is not pulled because peers that cannot be reached
# fill the list with an older one.
def test_newer_revision_is_pulled_although_the_list_of_peers_is_full() -> None:
    """Each unreachable peer costs a timeout before the next one is asked."""
    node = make_follower('node')
    for number in range(40):
        node.observe_revision(
            6, PeerAddress(node_id=f'gone-{number}', host='127.0.0.1', port=1)
        )
    peer = PeerAddress(node_id='other', host='127.0.0.1', port=1)
    node.observe_revision(7, peer)
    pull = node.begin_pull()
    assert pull is not None
    assert pull[0] == peer


async def test_failure_domain_has_two_readers() -> None:
    """Only two nodes of a failure domain may read the table service."""
    members = [FakeMembership(str(number)).local for number in range(9)]
    revisions = []
    for local in members:
        source = FakeSource()
        others = [member for member in members if member is not local]
        node = make_follower(local.peer.node_id, source, others)
        node.install(make_document(1))
        source.head = 2
        await node.reader.read()
        revisions.append(node.revision())
    assert revisions.count(2) == 2


# Guards against pulls of each change by all nodes across regions.
def test_revision_is_pulled_from_the_nearest_node_that_has_it() -> None:
    """A node of the own failure domain comes before one of another region."""
    far = PeerAddress(node_id='far', host='127.0.0.1', port=2)
    near = PeerAddress(node_id='near', host='127.0.0.1', port=3)
    distances = {far: 2, near: 0}
    for seed in range(20):
        puller = TablesPuller(
            rng=random.Random(seed), distance=distances.__getitem__
        )
        puller.observe_revision(3, far)
        puller.observe_revision(3, near)
        assert puller.select_peer() == near
        puller.drop_peer()
        assert puller.select_peer() == far
