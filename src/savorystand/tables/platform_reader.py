"""Reads accepted revisions from the table service and the object store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.store.errors import StoreError
from savorystand.tables.document import TablesDocument
from savorystand.tables.readers import is_reader

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.membership.directory import MemberDirectory
    from savorystand.tables.document import TablesSource

READ_INTERVAL_MS = 1000
_MAX_BACKOFF_MS = 2000
# A read without a response is abandoned after this time and retried.
_READ_TIMEOUT_MS = 2000
# A node without tables waits this long for those of its peers before it reads
# the platform.
_INITIAL_DELAY_MS = 2000

SnapshotReader: TypeAlias = Callable[[], Awaitable[TablesDocument | None]]


class TablesInstaller(Protocol):
    """Installs revisions of the tables."""

    def revision(self) -> int:
        """Return the revision in force, 0 if there is none."""

    def can_install(self, revision: int) -> bool:
        """Return True if a revision is newer and was not rejected."""

    def install(self, document: TablesDocument) -> bool:
        """Parse and install a document; return False if it is not used."""


class PlatformReader:
    """Reads the platform while this node is a reader or has no tables."""

    __slots__ = (
        '_clock',
        '_directory',
        '_rng',
        '_snapshot',
        '_source',
        '_tables',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        directory: MemberDirectory,
        tables: TablesInstaller,
        source: TablesSource | None,
        snapshot: SnapshotReader | None,
        rng: random.Random,
    ) -> None:
        """Install revisions from ``source`` and ``snapshot``, if any."""
        self._clock = clock
        self._directory = directory
        self._tables = tables
        self._source = source
        self._snapshot = snapshot
        self._rng = rng

    async def run(self) -> None:
        """Read once a second until cancelled; wait longer after a failure."""
        await self._clock.sleep(_INITIAL_DELAY_MS)
        while True:
            if await self._read_with_timeout():
                delay_ms: float = READ_INTERVAL_MS
            else:
                # Jitter keeps readers from all retrying at once after a failure.
                delay_ms = self._rng.uniform(READ_INTERVAL_MS, _MAX_BACKOFF_MS)
            await self._clock.sleep(delay_ms)

    async def read(self) -> None:
        """Install a newer revision if this node is a reader or has no tables.

        Raises:
            StoreError: the platform did not respond.
        """
        if self._tables.revision() and not is_reader(self._directory):
            return
        try:
            await self._read_source()
        finally:
            await self._read_snapshot()

    async def _read_with_timeout(self) -> bool:
        with anyio.move_on_after(_READ_TIMEOUT_MS / MS_PER_SECOND):
            try:
                await self.read()
            except StoreError:
                return False
            return True
        return False

    async def _read_source(self) -> None:
        if self._source is None:
            return
        head = await self._source.head_revision()
        if self._tables.can_install(head):
            self._tables.install(await self._source.fetch(head))

    async def _read_snapshot(self) -> None:
        if self._snapshot is None or self._tables.revision():
            return
        document = await self._snapshot()
        if document is not None:
            self._tables.install(document)
