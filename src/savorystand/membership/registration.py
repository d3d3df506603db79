"""The row of this node in the register of nodes.

It makes the node known to others, and holds the departures of its target, which
the next process at this address has to know.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol
from typing import final

import anyio

from savorystand.clock import Clock
from savorystand.departures.departures import Departures
from savorystand.departures.row import decode_departures
from savorystand.departures.row import encode_departures
from savorystand.kernel.service import Service
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Sequence

    from anyio.abc import TaskStatus

    from savorystand.departures.departure import Departure
    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import Address

# A node that starts learns of earlier departures within a fifth of this time
# from a store that responds. Without one its target gets work after it.
_MAX_UNKNOWN_MS = 1000
# Bounds of the random delay before a retry while the store is unavailable.
_MIN_RETRY_DELAY_MS = 100
_MAX_RETRY_DELAY_MS = 300


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RegisteredNode:
    """A row of the register.

    ``version`` increases with each write of the row.
    """

    address: Address
    payload: bytes
    version: int


class NodeRegistry(Protocol):
    """Rows of nodes in the store, by address.

    A row is kept after its node has stopped; a later node at the same address
    uses it.
    """

    async def write(
        self, address: Address, payload: bytes, *, expected_version: int
    ) -> None:
        """Write the row of an address if it still has a version, 0 for none.

        Raises:
            RowsChangedError: it has another version; nothing was written.
            StoreError: the row may not have been written.
        """

    async def read(self, address: Address) -> RegisteredNode | None:
        """Return the row of an address, None if there is none.

        Raises:
            StoreError: the rows could not be read.
        """

    async def nodes(self) -> Sequence[RegisteredNode]:
        """Return all rows, including those of stopped nodes.

        Raises:
            StoreError: the rows could not be read.
        """


class Registration(Service):
    """Keeps the row of this node, and writes each departure into it.

    The row is read at least once before it is written, so that the departures
    that an earlier process has written stay there.
    """

    __slots__ = (
        '_address',
        '_clock',
        '_departures',
        '_lock',
        '_log',
        '_registry',
        '_rng',
        '_stored',
        '_unsaved',
        '_version',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        registry: NodeRegistry,
        address: Address,
        rng: random.Random,
    ) -> None:
        """Write the ``departures`` of ``kernel`` to the row of ``address``."""
        self._clock = kernel.find('clock', Clock)
        self._departures = kernel.find('departures', Departures)
        self._log = kernel.find('log', EventLog)
        self._registry = registry
        self._address = address
        self._rng = rng
        self._lock = anyio.Lock()
        # Version of the row, None if it has to be read before the next write.
        self._version: int | None = None
        self._stored: frozenset[Departure] = frozenset()
        self._unsaved = anyio.Event()
        self._departures.add_unsaved_observer(lambda: self._unsaved.set())

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Write new departures until cancelled; retry on store errors."""
        self._departures.await_earlier()
        timer = self._clock.call_later(
            _MAX_UNKNOWN_MS, self._departures.stop_awaiting
        )
        task_status.started()
        try:
            while True:
                await self._unsaved.wait()
                self._unsaved = anyio.Event()
                await self._save()
        finally:
            timer.cancel()

    async def refresh(self) -> bool:
        """Read the row, and write it if it lacks a departure.

        Return False if there is no row; nothing is written then.

        Raises:
            StoreError: the row may not have been read or written.
        """
        async with self._lock:
            row = await self._registry.read(self._address)
            self._observe(row)
            if row is not None:
                await self._write_if_needed()
        return row is not None

    async def register(self) -> None:
        """Write the row, which is missing as it was last read.

        Raises:
            StoreError: the row may not have been written.
        """
        async with self._lock:
            await self._write_if_needed()

    async def register_beside(self, rows: Iterable[RegisteredNode]) -> None:
        """Write the row if it is not among ``rows`` or lacks a departure.

        ``rows`` are all rows of the register, as they have just been read.

        Raises:
            StoreError: the row may not have been written.
        """
        found = (row for row in rows if row.address == self._address)
        async with self._lock:
            self._observe(next(found, None))
            await self._write_if_needed()

    async def _save(self) -> None:
        failures = 0
        while not await self._try_save(failures):
            failures += 1
            await self._clock.sleep(
                self._rng.uniform(_MIN_RETRY_DELAY_MS, _MAX_RETRY_DELAY_MS)
            )
        if failures:
            self._log_state('regained', '')

    async def _try_save(self, failures: int) -> bool:
        try:
            async with self._lock:
                await self._write_if_needed()
        except StoreError as exc:
            # One line for each outage.
            if not failures:
                self._log_state('lost', str(exc))
            return False
        return True

    async def _write_if_needed(self) -> None:
        while self._version == 0 or self._departures.needs_saving(self._stored):
            await self._write(self._departures.lasting())
        self._departures.mark_saved(self._stored)

    async def _write(self, lasting: tuple[Departure, ...]) -> None:
        if self._version is None:
            self._observe(await self._registry.read(self._address))
            return
        version = self._version
        # Read again before the next write, whatever comes of this one.
        self._version = None
        await self._registry.write(
            self._address, encode_departures(lasting), expected_version=version
        )
        self._stored = frozenset(lasting)

    def _observe(self, row: RegisteredNode | None) -> None:
        self._version = 0 if row is None else row.version
        stored = () if row is None else decode_departures(row.payload)
        self._stored = frozenset(stored)
        self._departures.record_earlier(stored)

    def _log_state(self, state: str, detail: str) -> None:
        self._log.write(dependency_changed('departure row', state, detail))
