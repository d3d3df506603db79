"""Guards against missed changes and against retries without a delay.

Both may follow a failed read: the position in the feed must stay, and the
next read must wait.
"""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedPosition
from savorystand.tables.feed_reader import FeedReader
from tests.fakes.store import AutoAdvanceClock
from tests.tables.test_follower import FakeMembership

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorystand.reporting.logs import Event
    from savorystand.tables.feed_reader import FeedAnswer

pytestmark = pytest.mark.anyio
_APPLY_MS = 2500
_STEP_MS = 25


class _EndOfScriptError(Exception):
    """The script of the feed has no further response."""


class _Feed:
    """Feed with scripted responses that records requested positions."""

    def __init__(self, *script: int | Exception) -> None:
        self._script = list(script)
        self.positions: list[int | None] = []

    async def newest(self) -> FeedAnswer:
        """Return the next response of the script."""
        return self._next_response(None)

    async def changes(
        self, position: FeedPosition, wait_ms: float
    ) -> FeedAnswer:
        """Return the next response of the script."""
        return self._next_response(position.version)

    def _next_response(self, position: int | None) -> FeedAnswer:
        self.positions.append(position)
        if not self._script:
            raise _EndOfScriptError
        response = self._script.pop(0)
        if isinstance(response, Exception):
            raise response
        document = TablesDocument(
            revision=response, change_id='', routes='', pools=''
        )
        return document, FeedPosition(version=response)


class _Tables:
    def __init__(self) -> None:
        self.installed: list[int] = []

    def install(self, document: TablesDocument) -> bool:
        """Record the revision."""
        self.installed.append(document.revision)
        return True

    def revision(self) -> int:
        """Return the last revision."""
        return self.installed[-1] if self.installed else 0


class _Log(EventLog):
    def __init__(self) -> None:
        self.states: list[str] = []

    def write(self, event: Event) -> None:
        """Record the state of the dependency."""
        if event.name is EventName.DEPENDENCY_CHANGED:
            self.states.append(dict(event.extra)['state'])


async def _run_reader(feed: _Feed) -> tuple[list[int], list[str], float]:
    clock, log, tables = AutoAdvanceClock(), _Log(), _Tables()
    kernel = Kernel()
    kernel.register('clock', clock)
    kernel.register('log', log)
    kernel.register('membership', FakeMembership('node'))
    kernel.register('confirmation', StoreConfirmation(clock=clock))
    reader = FeedReader(
        kernel=kernel,
        feed=feed,
        tables=tables,
        rng=random.Random(1),
        apply_ms=_APPLY_MS,
    )
    # Reads run in a task group, which wraps the error.
    with pytest.RaisesGroup(_EndOfScriptError):
        await reader.run()
    return tables.installed, log.states, clock.now()


async def test_failed_reads_keep_the_position() -> None:
    """A position that advances on a failure would skip a change."""
    unavailable = StoreUnavailableError('unavailable')
    feed = _Feed(7, unavailable, unavailable, 9)
    installed, states, waited_ms = await _run_reader(feed)
    assert feed.positions == [None, 7, 7, 7, 9]
    assert installed == [7, 9]
    # One line for each outage, not for each failure.
    assert states == ['lost', 'regained']
    assert 300 <= waited_ms <= 1000


async def test_lost_history_reads_the_newest_state() -> None:
    """Changes that the feed no longer has are only in the newest state."""
    feed = _Feed(7, HistoryLostError('forgotten'), 12)
    installed, states, _ = await _run_reader(feed)
    assert feed.positions == [None, 7, None, 12]
    assert installed == [7, 12]
    # The store answers: this is no outage.
    assert states == ['history lost']


# Guards against reads without a pause at a store that keeps no history.
async def test_store_without_history_is_read_at_intervals() -> None:
    """Each full read is followed by the same refusal of the feed."""
    lost = HistoryLostError('forgotten')
    feed = _Feed(7, lost, 7, lost, 7, lost, 9)
    installed, _, waited_ms = await _run_reader(feed)
    assert feed.positions[:7] == [None, 7, None, 7, None, 7, None]
    assert installed == [7, 7, 7, 9]
    # Three pauses.
    assert 450 <= waited_ms <= 1500


class _LosingFeed:
    """Feed whose connections go silent: lost requests are never answered."""

    def __init__(self) -> None:
        self.revision = 1
        self.answer_ms: float = 0
        self.clock = ManualClock()
        self.longest_wait_ms: float = 0
        self.reader: FeedReader | None = None
        self.seed = 1
        self._lost = 0
        self._losses = 0

    def silence(self, lost: int) -> None:
        """Lose the requests in progress and the ``lost`` following ones."""
        self._losses += 1
        self._lost = lost

    async def newest(self) -> FeedAnswer:
        """Return the configuration, unless the request is lost."""
        return await self.changes(FeedPosition(version=0), 0)

    async def changes(
        self, position: FeedPosition, wait_ms: float
    ) -> FeedAnswer:
        """Return a newer configuration, or none at the end of the wait."""
        losses = self._losses
        self.longest_wait_ms = max(self.longest_wait_ms, wait_ms)
        if self._lost:
            self._lost -= 1
            await anyio.sleep_forever()
        end_ms = self.clock.now() + wait_ms
        while self.revision == position.version and self.clock.now() < end_ms:
            await self.clock.sleep(_STEP_MS)
        await self.clock.sleep(self.answer_ms)
        if losses != self._losses:
            await anyio.sleep_forever()
        document = TablesDocument(
            revision=self.revision, change_id='', routes='', pools=''
        )
        return document, FeedPosition(version=self.revision)

    async def advance(self, ms: float) -> None:
        """Advance the clock in steps, and let the tasks run at each."""
        for _ in range(int(ms / _STEP_MS)):
            self.clock.advance(_STEP_MS)
            await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def _follow(
    feed: _LosingFeed, apply_ms: float = _APPLY_MS, members: int = 1
) -> AsyncIterator[_Tables]:
    tables = _Tables()
    kernel = Kernel()
    kernel.register('clock', feed.clock)
    kernel.register('log', _Log())
    membership = FakeMembership('node')
    # Two in each failure domain, all of which read for others.
    membership.others = [
        replace(membership.local_member(), failure_domain=str(number // 2))
        for number in range(members - 1)
    ]
    kernel.register('membership', membership)
    kernel.register('confirmation', StoreConfirmation(clock=feed.clock))
    reader = FeedReader(
        kernel=kernel,
        feed=feed,
        tables=tables,
        rng=random.Random(feed.seed),
        apply_ms=apply_ms,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.run)
        await anyio.wait_all_tasks_blocked()
        feed.reader = reader
        yield tables
        tasks.cancel_scope.cancel()


# Guards against a change that is missed for as long as a lost feed request may
# wait.
@pytest.mark.parametrize('lost', [0, 1, 2])
async def test_change_is_in_force_in_time_although_the_feed_is_silent(
    lost: int,
) -> None:
    """Nothing reports the loss: the connections only stay silent."""
    feed = _LosingFeed()
    async with _follow(feed) as tables:
        for revision in range(2, 12):
            # Changes meet the feed at different moments of its wait.
            await feed.advance(5000 + revision * 100)
            feed.silence(lost)
            feed.revision = revision
            await feed.advance(_APPLY_MS)
            assert tables.installed[-1] == revision


# Guards against a reader that gives up all answers of a slow store.
async def test_answers_that_take_seconds_are_used() -> None:
    """Requests beside a late one must not replace it for ever."""
    feed = _LosingFeed()
    async with _follow(feed) as tables:
        await feed.advance(1000)
        feed.answer_ms = 6000
        feed.revision = 2
        await feed.advance(9000)
        assert tables.installed[-1] == 2


# Guards against a wait that outlives the connection to the store.
async def test_wait_is_bounded_where_changes_may_take_long() -> None:
    """Each request of an idle feed would end in an error."""
    feed = _LosingFeed()
    async with _follow(feed, apply_ms=60000):
        await feed.advance(1000)
    assert feed.longest_wait_ms == 8000


# Guards against a lost feed that is noticed late on a node among many.
async def test_newer_revision_of_a_peer_makes_a_silent_feed_read_again() -> (
    None
):
    """Gossip names the revision; peers that hold it may be out of reach."""
    feed = _LosingFeed()
    async with _follow(feed, members=1000) as tables:
        await feed.advance(1000)
        feed.silence(0)
        feed.revision = 2
        assert feed.reader is not None
        feed.reader.expect(2)
        feed.reader.expect(2)
        await feed.advance(200)
        assert tables.installed[-1] == 2


# Guards against calls of the store that grow with the number of nodes times the
# rate of a node on its own.
async def test_waits_of_many_nodes_are_long_and_end_at_all_times() -> None:
    """Of 24 nodes six end their wait in 1 s, also right after a change."""
    waits = []
    for _ in range(24):
        feed = _LosingFeed()
        feed.seed = len(waits)
        async with _follow(feed, members=24):
            await feed.advance(1000)
        waits.append(feed.longest_wait_ms)
    assert 2 <= sum(wait < 1000 for wait in waits) <= 10
    assert 2500 <= sum(waits) / len(waits) <= 5000
