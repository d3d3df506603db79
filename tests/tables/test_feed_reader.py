"""Guards against missed changes and against retries without a delay.

Both may follow a failed read: the position in the feed must stay, and the
next read must wait.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from savorystand.kernel.kernel import Kernel
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedReader
from tests.fakes.store import AutoAdvanceClock

if TYPE_CHECKING:
    from savorystand.reporting.logs import Event

pytestmark = pytest.mark.anyio


class _EndOfScriptError(Exception):
    """The script of the feed has no further response."""


class _Feed:
    """Feed with scripted responses that records requested positions."""

    def __init__(self, *script: int | Exception) -> None:
        self._script = list(script)
        self.positions: list[int | None] = []

    async def newest(self) -> tuple[TablesDocument | None, int]:
        """Return the next response of the script."""
        return self._next_response(None)

    async def changes(self, position: int) -> tuple[TablesDocument | None, int]:
        """Return the next response of the script."""
        return self._next_response(position)

    def _next_response(
        self, position: int | None
    ) -> tuple[TablesDocument, int]:
        self.positions.append(position)
        if not self._script:
            raise _EndOfScriptError
        response = self._script.pop(0)
        if isinstance(response, Exception):
            raise response
        document = TablesDocument(
            revision=response, change_id='', routes='', pools=''
        )
        return document, response


class _Tables:
    def __init__(self) -> None:
        self.installed: list[int] = []

    def install(self, document: TablesDocument) -> bool:
        """Record the revision."""
        self.installed.append(document.revision)
        return True


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
    reader = FeedReader(
        kernel=kernel, feed=feed, tables=tables, rng=random.Random(1)
    )
    with pytest.raises(_EndOfScriptError):
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
    assert not states
