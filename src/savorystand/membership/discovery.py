"""Discovery of nodes through a registry in the store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import Address

Contact: TypeAlias = Callable[[str, int], None]

# Nodes that a new node contacts; the others learn of it through gossip.
_MAX_CONTACTS = 24
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

    async def addresses(self) -> Sequence[Address]:
        """Return all addresses, including those of stopped nodes.

        Raises:
            StoreError: the addresses could not be read.
        """


class NodeDiscovery(Service):
    """Registers this node and contacts the registered nodes.

    Each node adds itself before it reads, so that of two nodes that start
    together at least one finds the other. Later changes spread by gossip.
    """

    __slots__ = (
        '_clock',
        '_contact',
        '_log',
        '_local_address',
        '_rng',
        '_registry',
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        registry: NodeRegistry,
        local_address: Address,
        contact: Contact,
        rng: random.Random,
    ) -> None:
        """Register ``local_address``; pass other addresses to ``contact``."""
        self._clock = kernel.find('clock', Clock)
        self._log = kernel.find('log', EventLog)
        self._registry = registry
        self._local_address = local_address
        self._contact = contact
        self._rng = rng

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Register this node and contact others; retry on store errors."""
        task_status.started()
        failed = False
        while True:
            try:
                address_count = await self._register_and_contact()
            except StoreError as exc:
                if not failed:
                    self._log_state('lost', str(exc))
                failed = True
                delay_ms = self._rng.uniform(
                    _MIN_RETRY_DELAY_MS, _MAX_RETRY_DELAY_MS
                )
                await self._clock.sleep(delay_ms)
                continue
            state = 'regained' if failed else 'reached'
            self._log_state(state, f'{address_count} addresses')
            return

    async def _register_and_contact(self) -> int:
        await self._registry.add(self._local_address)
        addresses = [
            (address.host, address.port)
            for address in await self._registry.addresses()
            if address != self._local_address
        ]
        self._rng.shuffle(addresses)
        for host, port in addresses[:_MAX_CONTACTS]:
            self._contact(host, port)
        return len(addresses)

    def _log_state(self, state: str, detail: str) -> None:
        self._log.write(dependency_changed('node register', state, detail))
