"""Failures: a change is missed, or the store is asked without a pause."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from savorystand.kernel.kernel import Kernel
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreUnavailableError
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedReader
from tests.fakes.store import AutoAdvanceClock

if TYPE_CHECKING:
    from savorystand.reporting.logs import Event

pytestmark = pytest.mark.anyio


class _EndOfScriptError(Exception):
    """The feed has no further answer."""


class _Feed:
    """Answers from a script and notes what it was asked."""

    def __init__(self, *script: int | Exception) -> None:
        self._script = list(script)
        self.asked: list[int | None] = []

    async def newest(self) -> tuple[TablesDocument | None, int]:
        """Return the next answer of the script."""
        return self._answer(None)

    async def changes(self, position: int) -> tuple[TablesDocument | None, int]:
        """Return the next answer of the script."""
        return self._answer(position)

    def _answer(self, position: int | None) -> tuple[TablesDocument, int]:
        self.asked.append(position)
        if not self._script:
            raise _EndOfScriptError
        answer = self._script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        document = TablesDocument(
            revision=answer, change_id='', routes='', pools=''
        )
        return document, answer


class _Tables:
    def __init__(self) -> None:
        self.installed: list[int] = []

    def install(self, document: TablesDocument) -> None:
        """Note a revision."""
        self.installed.append(document.revision)


class _Log(EventLog):
    def __init__(self) -> None:
        self.states: list[str] = []

    def write(self, event: Event) -> None:
        """Note the state of the dependency."""
        self.states.append(dict(event.extra)['state'])


async def _follow(feed: _Feed) -> tuple[list[int], list[str], float]:
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


async def test_changes_are_read_from_the_last_position() -> None:
    """A position that moves on a failure would skip a change."""
    lost = StoreUnavailableError('away')
    feed = _Feed(7, lost, lost, 9)
    installed, states, waited_ms = await _follow(feed)
    assert feed.asked == [None, 7, 7, 7, 9]
    assert installed == [7, 9]
    # One line for each outage, not for each failure.
    assert states == ['lost', 'regained']
    assert 300 <= waited_ms <= 1000


async def test_lost_history_is_read_anew() -> None:
    """What came in the forgotten time is only in the newest state."""
    feed = _Feed(7, HistoryLostError('forgotten'), 12)
    installed, states, _ = await _follow(feed)
    assert feed.asked == [None, 7, None, 12]
    assert installed == [7, 12]
    assert not states
