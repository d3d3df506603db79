"""Guards against messages of other writers that change the local target.

Any process can send announcements. One of a pool that the tables do not name
took the place of the target, which then got no work for seconds, and its pool
became the caller's service of all requests (review/14).
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.rate_limit import RateLimit
from savorystand.clock import ManualClock
from savorystand.departures.departures import Departures
from savorystand.dispatch.announcement import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.kernel.kernel import Kernel
from savorystand.membership.directory import MemberDirectory
from savorystand.reporting.logs import EventLog
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.tables import Tables
from tests.policy_doubles import register_local_pool

if TYPE_CHECKING:
    from savorystand.dispatch.local_pool import LocalPool
    from savorystand.membership.member import Member
    from savorystand.target_notice import Incarnation

_OWN = Announcement(
    instance='i-1',
    started_ms=1000,
    sequence=4,
    pool='refill',
    slots=109,
    leaving=False,
)
_FOREIGN_POOL = 'depot-archive'
_INTERVAL_MS = 1500
_MAX_SILENCE_MS = 3000


class _Directory(MemberDirectory):
    """Remembers the pool that peers are told, None while there is none."""

    def __init__(self) -> None:
        self.pool: str | None = None
        self.announced: list[str] = []

    def announce(self, pool: str) -> None:
        self.pool = pool
        self.announced.append(pool)

    def leave(self) -> None:
        self.pool = None

    def serving(self, pool: str) -> list[Member]:
        return []


class _Node:
    """A node process without tables, beside a target of ``refill``."""

    def __init__(self) -> None:
        self.clock = ManualClock(now=10000)
        self.directory = _Directory()
        self.tables = TablesHolder()
        kernel = Kernel()
        kernel.register('clock', self.clock)
        kernel.register('tables', self.tables)
        kernel.register('log', EventLog(clock=self.clock, node_id='node'))
        kernel.register('admission', AdmissionQueue(clock=self.clock))
        kernel.register('rate limit', RateLimit(clock=self.clock))
        kernel.register('membership', self.directory)
        self.local_pool: LocalPool = register_local_pool(kernel)
        self.departures = kernel.find('departures', Departures)
        self.announcements = Announcements(kernel=kernel)
        self._revision = 0

    def install(self, *names: str) -> None:
        """Install the next revision, with pools of these names."""
        self._revision += 1
        pools = [Pool(name=name, slots=1, connections=1) for name in names]
        self.tables.install(
            Tables(
                revision=self._revision,
                change_id='',
                routes=(),
                pools=tuple(pools),
            )
        )

    def serves(self) -> tuple[str | None, Incarnation]:
        """Return the pool that peers are told, and who gets its calls."""
        return self.directory.pool, self.local_pool.incarnation

    def state(self) -> tuple[object, ...]:
        """Return all that the node knows of targets."""
        instances = (_OWN.instance, 'i-foreign')
        heard = [self.departures.records.announced(one) for one in instances]
        return (
            self.serves(),
            (self.local_pool.pool, self.local_pool.leaving),
            self.departures.lasting(),
            heard,
            tuple(self.directory.announced),
        )


_FOREIGN = st.builds(
    Announcement,
    instance=st.sampled_from(('i-1', 'i-foreign')),
    started_ms=st.sampled_from((0, 999, 1000, 1001, 2000)),
    sequence=st.integers(min_value=-1, max_value=2**62),
    pool=st.sampled_from((_FOREIGN_POOL, 'refill2', 'former')),
    slots=st.integers(min_value=1, max_value=1000),
    leaving=st.booleans(),
)
_SERVED_BY_OWN = ('refill', _OWN.incarnation)


@given(messages=st.lists(_FOREIGN, min_size=1, max_size=20))
def test_announcements_of_unnamed_pools_change_nothing(
    messages: list[Announcement],
) -> None:
    """Whatever their instance, start, sequence, state and number are."""
    node = _Node()
    node.install('refill', 'former')
    assert node.announcements.accept(_OWN)
    # The tables have named one of the pools, and no longer do.
    node.install('refill')
    before = node.state()
    for message in messages:
        assert not node.announcements.accept(message)
        node.clock.advance(100)
    assert node.state() == before
    assert node.serves() == _SERVED_BY_OWN
    assert node.announcements.accept(replace(_OWN, sequence=5))
    # Naming the pool later makes them no messages of a target.
    node.install('refill', _FOREIGN_POOL)
    assert node.serves() == _SERVED_BY_OWN


@given(messages=st.lists(_FOREIGN, max_size=20))
def test_early_announcements_of_unnamed_pools_change_nothing(
    messages: list[Announcement],
) -> None:
    """Before any tables, they cannot be told from those of the target."""
    node = _Node()
    before = node.state()
    for message in messages:
        assert not node.announcements.accept(message)
    assert node.state() == before
    node.install('refill')
    assert node.state() == before
    assert node.announcements.accept(_OWN)
    assert node.serves() == _SERVED_BY_OWN


def test_early_announcement_holds_once_its_pool_is_named() -> None:
    """The target gets work with the first tables, not an interval later."""
    node = _Node()
    node.announcements.accept(replace(_OWN, sequence=3))
    node.announcements.accept(replace(_OWN, sequence=3, pool=_FOREIGN_POOL))
    node.announcements.accept(_OWN)
    node.clock.advance(_MAX_SILENCE_MS)
    node.install('refill')
    assert node.serves() == _SERVED_BY_OWN


def test_early_announcement_of_a_silent_target_is_forgotten() -> None:
    """It may have ended since; a live one announces itself again."""
    node = _Node()
    node.announcements.accept(_OWN)
    node.clock.advance(_MAX_SILENCE_MS + 1)
    node.install('refill')
    assert node.directory.pool is None
    assert node.announcements.accept(replace(_OWN, sequence=5))
    assert node.serves() == _SERVED_BY_OWN


@pytest.mark.parametrize('by_announcement', [True, False])
def test_early_departure_holds(by_announcement: bool) -> None:
    """A late announcement must not give work to a target that has left."""
    node = _Node()
    node.announcements.accept(_OWN)
    if by_announcement:
        leaving = replace(_OWN, sequence=6, leaving=True)
        node.announcements.accept(leaving)
    else:
        node.announcements.deregister('i-1', _OWN.started_ms)
    node.announcements.accept(replace(_OWN, sequence=5))
    node.install('refill')
    assert not node.announcements.accept(replace(_OWN, sequence=5))
    assert node.directory.pool is None


def test_target_serves_once_its_pool_is_named() -> None:
    """The pool of a target may be in a later revision only."""
    node = _Node()
    node.install('binwatch')
    for sequence in range(20):
        assert not node.announcements.accept(replace(_OWN, sequence=sequence))
        node.clock.advance(_INTERVAL_MS)
    node.install('binwatch', 'refill')
    assert node.announcements.accept(replace(_OWN, sequence=20))
    assert node.serves() == _SERVED_BY_OWN


def test_target_of_another_named_pool_takes_over() -> None:
    """The address may go to a target of another pool."""
    node = _Node()
    node.install('refill', 'binwatch')
    assert node.announcements.accept(_OWN)
    other = replace(
        _OWN, instance='i-2', started_ms=2000, sequence=1, pool='binwatch'
    )
    assert node.announcements.accept(other)
    assert node.serves() == ('binwatch', other.incarnation)
