"""Follows the newest configuration in a store that pushes changes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from savorystand.clock import Clock
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    import random

    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.platform_reader import Installer

# Pauses after a failed read, in milliseconds, drawn from this range so that
# nodes do not return to a store together. A new configuration has to be in
# force within seconds of the store's return.
_MIN_PAUSE_MS = 150
_MAX_PAUSE_MS = 500


class ConfigurationFeed(Protocol):
    """Where changes of the configuration are announced."""

    async def newest(self) -> tuple[TablesDocument | None, int]:
        """Return the configuration, None if there is none, and a position.

        Raises:
            StoreError: the store gave no answer.
        """

    async def changes(self, position: int) -> tuple[TablesDocument | None, int]:
        """Wait for a configuration after ``position``, some seconds at most.

        Raises:
            HistoryLostError: the store has forgotten what came since.
            StoreError: the store gave no answer.
        """


class FeedReader:
    """Reads the configuration once and its changes from then on."""

    __slots__ = ('_clock', '_feed', '_log', '_rng', '_reachable', '_tables')

    def __init__(
        self,
        *,
        kernel: Kernel,
        feed: ConfigurationFeed,
        tables: Installer,
        rng: random.Random,
    ) -> None:
        """Read from ``feed`` into ``tables``."""
        self._clock = kernel.find('clock', Clock)
        self._log = kernel.find('log', EventLog)
        self._feed = feed
        self._tables = tables
        self._rng = rng
        self._reachable = True

    async def run(self) -> None:
        """Follow until cancelled; failures only delay it."""
        position: int | None = None
        while True:
            try:
                position = await self._read(position)
            except HistoryLostError as exc:
                position = None
                self._note(reachable=True, detail=str(exc))
            except StoreError as exc:
                self._note(reachable=False, detail=str(exc))
                pause_ms = self._rng.uniform(_MIN_PAUSE_MS, _MAX_PAUSE_MS)
                await self._clock.sleep(pause_ms)

    async def _read(self, position: int | None) -> int:
        if position is None:
            document, position = await self._feed.newest()
        else:
            document, position = await self._feed.changes(position)
        self._note(reachable=True, detail='')
        if document is not None:
            self._tables.install(document)
        return position

    def _note(self, *, reachable: bool, detail: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        state = 'regained' if reachable else 'lost'
        self._log.write(dependency_changed('configuration', state, detail))
