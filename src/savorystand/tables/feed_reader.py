"""Follows the configuration in a store that announces its changes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias
from typing import final

from savorystand.clock import Clock
from savorystand.membership.directory import MemberDirectory
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.events import tables_received
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreError
from savorystand.tables.read_lease import ReadLease
from savorystand.tables.readers import count_readers
from savorystand.tables.repeated_read import RepeatedRead

if TYPE_CHECKING:
    import random

    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.platform_reader import TablesInstaller

# Fractions of the time in which a change has to be in force everywhere. A lost
# answer is noticed after the wait and the lateness together, and the rest is for
# a read on a new connection and its retries.
_WAIT_FRACTION = 0.4
_LATE_FRACTION = 0.2
# A repeated read is late earlier, so that two lost ones leave time for a third.
_LATE_AGAIN_FRACTION = 0.15
# Time in which a revision that a peer has announced can be pulled.
_PULL_FRACTION = 0.1
# A read starts this long after a peer was found to have a newer revision. The
# answer of the feed usually comes earlier.
_EXPECTED_FRACTION = 0.04
# Readers of which one notices a lost feed tell the others. So many of them end
# their wait, on average, within the wait of a node on its own.
_WAITS_ENDED = 6
# A node that starts waits this long for peers that have the tables.
_MIN_START_WAIT_MS = 40
_MAX_START_WAIT_MS = 80
# Bounds the wait where changes may take long; connections to the store have a
# timeout, too.
_MAX_WAIT_MS = 8000
# The delay after a failed read is random within this range, so that nodes do
# not all read at once when a store is available again or has been restored.
_MIN_RETRY_FRACTION = 0.06
_MAX_RETRY_FRACTION = 0.2


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class FeedPosition:
    """A place in the changes of a store.

    ``version`` counts the changes of one ``generation``, which ends when the
    store comes back from a copy; None if the store names no generation.
    """

    version: int
    generation: int | None = None


FeedAnswer: TypeAlias = 'tuple[TablesDocument | None, FeedPosition]'


class ConfigurationFeed(Protocol):
    """A store that announces changes of the configuration."""

    async def newest(self) -> FeedAnswer:
        """Return the configuration, None if none, and its feed position.

        Raises:
            StoreError: the store did not respond.
        """

    async def changes(
        self, position: FeedPosition, wait_ms: float
    ) -> FeedAnswer:
        """Wait up to ``wait_ms`` at the store for a change after ``position``.

        Return the newest configuration, None without a change, and the next
        position.

        Raises:
            HistoryLostError: the store no longer has the changes since then.
            StoreError: the store did not respond.
        """


class FeedReader:
    """Follows the changes of the configuration, for this node or for others.

    Two nodes of each failure domain wait at the store for changes; the others
    pull them from peers. A request or answer that is lost without a reset must
    not keep a change from all readers, so some of them ask the store anew
    before the time to apply one has passed.

    The other nodes read the store themselves when ``ReadLease`` says so.
    """

    __slots__ = (
        '_answered_ms',
        '_apply_ms',
        '_clock',
        '_expected_revision',
        '_feed',
        '_lease',
        '_log',
        '_members',
        '_rng',
        '_reachable',
        '_reading',
        '_tables',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        feed: ConfigurationFeed,
        tables: TablesInstaller,
        rng: random.Random,
        apply_ms: float,
    ) -> None:
        """Install the configurations from ``feed`` with ``tables``.

        A change has to be in force ``apply_ms`` milliseconds after the store
        has accepted it.
        """
        self._apply_ms = apply_ms
        self._members = kernel.find('membership', MemberDirectory)
        self._lease = ReadLease(kernel=kernel, rng=rng, apply_ms=apply_ms)
        self._expected_revision = 0
        # The read in progress.
        self._reading: RepeatedRead[FeedAnswer] | None = None
        self._clock = kernel.find('clock', Clock)
        self._log = kernel.find('log', EventLog)
        self._feed = feed
        self._tables = tables
        self._rng = rng
        self._reachable = True
        self._answered_ms = self._clock.now()

    async def run(self) -> None:
        """Follow the feed until cancelled; failed reads are retried."""
        position: FeedPosition | None = None
        await self._wait_for_peers()
        while True:
            if not self._lease.is_due():
                position = None
                await self._rely_on_others()
            try:
                position = await self._read(position)
            except HistoryLostError as exc:
                position = None
                self._record_reachability(reachable=True, detail='')
                self._log_state('history lost', str(exc))
                await self._pause()
            except StoreError as exc:
                self._record_reachability(reachable=False, detail=str(exc))
                await self._pause()

    def expect(self, revision: int) -> None:
        """Read again if ``revision``, which a peer has, does not arrive soon."""
        if revision <= self._expected_revision:
            return
        self._expected_revision = revision
        fraction = (
            _PULL_FRACTION if self._reading is None else _EXPECTED_FRACTION
        )
        self._clock.call_later(
            self._apply_ms * fraction, lambda: self._read_missed(revision)
        )

    def _read_missed(self, revision: int) -> None:
        if self._tables.revision() >= revision:
            return
        if self._reading is None:
            self._lease.demand_read()
        else:
            self._reading.repeat()

    async def _wait_for_peers(self) -> None:
        """Give peers the time to pass on the tables to a node that starts."""
        await self._clock.sleep(
            self._rng.uniform(_MIN_START_WAIT_MS, _MAX_START_WAIT_MS)
        )
        if self._tables.revision() < self._expected_revision:
            await self._clock.sleep(self._apply_ms * _PULL_FRACTION)
        if self._tables.revision() < max(1, self._expected_revision):
            self._lease.demand_read()

    async def _rely_on_others(self) -> None:
        await self._lease.wait_until_due()
        if self._lease.remaining_ms() <= 0:
            self._log_state('unconfirmed', 'no peer has a later confirmation')

    async def _pause(self) -> None:
        await self._clock.sleep(
            self._rng.uniform(
                self._apply_ms * _MIN_RETRY_FRACTION,
                self._apply_ms * _MAX_RETRY_FRACTION,
            )
        )

    async def _read(self, position: FeedPosition | None) -> FeedPosition:
        document, position = await self._answer(position)
        self._record_reachability(reachable=True, detail='')
        self._answered_ms = self._clock.now()
        if document is not None:
            used = self._tables.install(document)
            self._log.write(
                tables_received(
                    document, used=used, source='store', position=position
                )
            )
        self._lease.record_read(position.generation)
        return position

    async def _answer(self, position: FeedPosition | None) -> FeedAnswer:
        late_ms = self._apply_ms * _LATE_FRACTION
        reading = RepeatedRead[FeedAnswer](
            clock=self._clock,
            late_ms=self._apply_ms * _LATE_AGAIN_FRACTION,
        )
        newest = self._feed.newest
        if position is None:
            first, again, first_late_ms = newest, newest, late_ms
        else:
            wait_ms = self._draw_wait_ms()
            first = partial(self._feed.changes, position, wait_ms)
            again = partial(self._feed.changes, position, 0)
            first_late_ms = wait_ms + late_ms
        self._reading = reading
        self._repeat_if_unconfirmed(reading)
        try:
            answer = await reading.run(
                first, again, first_late_ms=first_late_ms
            )
        finally:
            self._reading = None
        if reading.repeated:
            self._log_state('late', f'{reading.repeated} further reads')
        return answer

    def _repeat_if_unconfirmed(self, reading: RepeatedRead[FeedAnswer]) -> None:
        # A reader that reaches no peer would otherwise rely on other readers
        # to notice a lost feed.
        if reading is not self._reading:
            return
        check_ms = self._lease.remaining_ms()
        if check_ms <= 1:
            reading.repeat()
            check_ms = self._apply_ms * _LATE_AGAIN_FRACTION
        self._clock.call_later(
            check_ms, lambda: self._repeat_if_unconfirmed(reading)
        )

    def _draw_wait_ms(self) -> float:
        """Return a random wait, so that the waits of nodes end at all times.

        A change ends the waits of all nodes at once. Only an exponential
        distribution keeps their later ends evenly spread.
        """
        single_ms = self._apply_ms * _WAIT_FRACTION
        mean_ms = single_ms * count_readers(self._members) / _WAITS_ENDED
        if mean_ms > single_ms:
            wait_ms = self._rng.expovariate(1 / mean_ms)
        else:
            wait_ms = single_ms
        return min(wait_ms, _MAX_WAIT_MS)

    def _record_reachability(self, *, reachable: bool, detail: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._log_state('regained' if reachable else 'lost', detail)

    def _log_state(self, state: str, detail: str) -> None:
        silent_ms = round(self._clock.now() - self._answered_ms)
        self._log.write(
            dependency_changed(
                'configuration', state, detail, ('silent_ms', str(silent_ms))
            )
        )
