"""Follows the configuration in a store that announces its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from savorystand.clock import Clock
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.events import tables_received
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    import random

    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.platform_reader import TablesInstaller

# The delay after a failed read is random within this range, so that nodes do
# not all read at once when a store is available again. A new configuration has
# to be in force within seconds after that.
_MIN_RETRY_DELAY_MS = 150
_MAX_RETRY_DELAY_MS = 500


class ConfigurationFeed(Protocol):
    """A store that announces changes of the configuration."""

    async def newest(self) -> tuple[TablesDocument | None, int]:
        """Return the configuration, None if none, and its feed position.

        Raises:
            StoreError: the store did not respond.
        """

    async def changes(self, position: int) -> tuple[TablesDocument | None, int]:
        """Wait some seconds at most for a change after ``position``.

        Return the newest configuration, None without a change, and the next
        position.

        Raises:
            HistoryLostError: the store no longer has the changes since then.
            StoreError: the store did not respond.
        """


class FeedReader:
    """Reads the configuration once, then follows its changes."""

    __slots__ = (
        '_answered_ms',
        '_clock',
        '_feed',
        '_log',
        '_rng',
        '_reachable',
        '_tables',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        feed: ConfigurationFeed,
        tables: TablesInstaller,
        rng: random.Random,
    ) -> None:
        """Install the configurations from ``feed`` with ``tables``."""
        self._clock = kernel.find('clock', Clock)
        self._log = kernel.find('log', EventLog)
        self._feed = feed
        self._tables = tables
        self._rng = rng
        self._reachable = True
        self._answered_ms = self._clock.now()

    async def run(self) -> None:
        """Follow the feed until cancelled; failed reads are retried."""
        position: int | None = None
        while True:
            try:
                position = await self._read(position)
            except HistoryLostError as exc:
                position = None
                self._record_reachability(reachable=True, detail=str(exc))
            except StoreError as exc:
                self._record_reachability(reachable=False, detail=str(exc))
                delay_ms = self._rng.uniform(
                    _MIN_RETRY_DELAY_MS, _MAX_RETRY_DELAY_MS
                )
                await self._clock.sleep(delay_ms)

    async def _read(self, position: int | None) -> int:
        if position is None:
            document, position = await self._feed.newest()
        else:
            document, position = await self._feed.changes(position)
        self._record_reachability(reachable=True, detail='')
        self._answered_ms = self._clock.now()
        if document is not None:
            used = self._tables.install(document)
            self._log.write(
                tables_received(
                    document, used=used, source='store', position=position
                )
            )
        return position

    def _record_reachability(self, *, reachable: bool, detail: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        state = 'regained' if reachable else 'lost'
        silent_ms = round(self._clock.now() - self._answered_ms)
        self._log.write(
            dependency_changed(
                'configuration', state, detail, ('silent_ms', str(silent_ms))
            )
        )
