"""Discovery of nodes through a registry in the store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import Address
    from savorystand.store.generation import StoreGeneration

Contact: TypeAlias = Callable[[str, int], None]

# Nodes that a new node contacts; the others learn of it through gossip.
_MAX_CONTACTS = 24
# Interval at which a node checks that it is still registered. It matters only for
# a store that does not say that it came back from a copy.
_CHECK_INTERVAL_MS = 60000
# The register is one partition of the store, which takes 150 writes a second.
# All nodes together use half of them after a restore.
_WRITES_PER_SECOND = 75
_MIN_SPREAD_MS = 1000
# Bounds of the random delay before a retry while the store is unavailable.
_MIN_RETRY_DELAY_MS = 300
_MAX_RETRY_DELAY_MS = 1000


class NodeRegistry(Protocol):
    """Addresses of nodes in the store.

    An address is kept after its node has stopped; a later node at the same
    address replaces it.
    """

    async def add(self, address: Address) -> None:
        """Add an address; adding it again changes nothing.

        Raises:
            StoreError: the address may not have been added.
        """

    async def contains(self, address: Address) -> bool:
        """Return True if an address has been added and is not lost.

        Raises:
            StoreError: the addresses could not be read.
        """

    async def addresses(self) -> Sequence[Address]:
        """Return all addresses, including those of stopped nodes.

        Raises:
            StoreError: the addresses could not be read.
        """


class NodeDiscovery(Service):
    """Registers this node and contacts the registered nodes.

    Each node adds itself before it reads, so that of two nodes that start
    together at least one finds the other. Later changes spread by gossip.

    A store that comes back from a copy may have lost addresses. Each node then
    checks its own and adds it again, at a random time within a span that grows
    with the number of nodes.
    """

    __slots__ = (
        '_clock',
        '_contact',
        '_log',
        '_local_address',
        '_members',
        '_rng',
        '_registry',
        '_restored',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        registry: NodeRegistry,
        generation: StoreGeneration,
        local_address: Address,
        contact: Contact,
        rng: random.Random,
    ) -> None:
        """Register ``local_address``; pass other addresses to ``contact``.

        ``generation`` is that of the store of ``registry``.
        """
        self._clock = kernel.find('clock', Clock)
        self._members = kernel.find('membership', MemberDirectory)
        self._restored = anyio.Event()
        generation.add_observer(lambda: self._restored.set())
        self._log = kernel.find('log', EventLog)
        self._registry = registry
        self._local_address = local_address
        self._contact = contact
        self._rng = rng

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Stay registered until cancelled; retry on store errors."""
        task_status.started()
        await self._reach_store(self._register_and_contact)
        while True:
            await self._wait_for_check()
            await self._reach_store(self._check)

    async def _reach_store(self, action: Callable[[], Awaitable[str]]) -> None:
        """Repeat an action until the store responds; log what it returns."""
        failures = 0
        detail = await self._attempt(action, failures)
        while detail is None:
            failures += 1
            await self._clock.sleep(
                self._rng.uniform(_MIN_RETRY_DELAY_MS, _MAX_RETRY_DELAY_MS)
            )
            detail = await self._attempt(action, failures)
        if failures or detail:
            self._log_state('regained' if failures else 'reached', detail)

    async def _attempt(
        self, action: Callable[[], Awaitable[str]], failures: int
    ) -> str | None:
        try:
            return await action()
        except StoreError as exc:
            # One line for each outage.
            if not failures:
                self._log_state('lost', str(exc))
            return None

    async def _wait_for_check(self) -> None:
        interval_ms = _CHECK_INTERVAL_MS * self._rng.uniform(0.5, 1)
        timer = self._clock.call_later(interval_ms, self._restored.set)
        await self._restored.wait()
        timer.cancel()
        # Replaced before the check: a restore during the check starts another.
        self._restored = anyio.Event()
        members = sum(1 for _ in self._members.members())
        spread_ms = max(
            _MIN_SPREAD_MS, members * MS_PER_SECOND / _WRITES_PER_SECOND
        )
        await self._clock.sleep(self._rng.uniform(0, spread_ms))

    async def _check(self) -> str:
        if await self._registry.contains(self._local_address):
            return ''
        return await self._register_and_contact()

    async def _register_and_contact(self) -> str:
        await self._registry.add(self._local_address)
        addresses = [
            (address.host, address.port)
            for address in await self._registry.addresses()
            if address != self._local_address
        ]
        self._rng.shuffle(addresses)
        for host, port in addresses[:_MAX_CONTACTS]:
            self._contact(host, port)
        return f'{len(addresses)} addresses'

    def _log_state(self, state: str, detail: str) -> None:
        self._log.write(dependency_changed('node register', state, detail))
