"""Discovery of nodes through a registry in the store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.kernel.service import Service
from savorystand.membership.directory import MemberDirectory
from savorystand.membership.member import MemberState
from savorystand.membership.registration import Registration
from savorystand.reporting.events import dependency_changed
from savorystand.reporting.logs import EventLog
from savorystand.store.errors import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Kernel
    from savorystand.membership.member import Member
    from savorystand.membership.registration import NodeRegistry
    from savorystand.settings.node import Address
    from savorystand.store.generation import StoreGeneration

Contact: TypeAlias = Callable[[str, int], None]

# Nodes that a new node contacts; the others learn of it through gossip.
_MAX_CONTACTS = 24
# A node that starts waits this long for the answers of its seeds. Those of
# another region take 40 ms.
_MIN_START_WAIT_MS = 50
_MAX_START_WAIT_MS = 100
# A node that has run for longer than another knows nearly all members.
_COMPLETE_LIST_AGE_MS = 5000
# A node that reaches no other reads the register again after this time, doubled
# up to the longest.
_MIN_ALONE_WAIT_MS = 1000
_MAX_ALONE_WAIT_MS = 8000
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


class NodeDiscovery(Service):
    """Registers this node and contacts the registered nodes.

    A node that starts and has reached an older one through its seeds only
    makes sure that it is registered; members and tables come from that peer.
    Any other node contacts the registered ones, and reads the register again
    while it reaches none, so that two nodes that start together find each
    other. Later changes spread by gossip.

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
        '_registration',
        '_registry',
        '_restored',
        '_rng',
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
        """Register this node; pass other addresses to ``contact``.

        ``generation`` is that of the store of ``registry``.
        """
        self._clock = kernel.find('clock', Clock)
        self._members = kernel.find('membership', MemberDirectory)
        self._restored = anyio.Event()
        generation.add_observer(lambda: self._restored.set())
        self._log = kernel.find('log', EventLog)
        self._registration = kernel.find('registration', Registration)
        self._registry = registry
        self._local_address = local_address
        self._contact = contact
        self._rng = rng

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Stay registered until cancelled; retry on store errors."""
        task_status.started()
        await self._clock.sleep(
            self._rng.uniform(_MIN_START_WAIT_MS, _MAX_START_WAIT_MS)
        )
        await self._reach_store(self._join)
        alone_ms = _MIN_ALONE_WAIT_MS
        while self._is_alone():
            await self._clock.sleep(alone_ms * self._rng.uniform(0.5, 1))
            alone_ms = min(2 * alone_ms, _MAX_ALONE_WAIT_MS)
            await self._reach_store(self._contact_and_register)
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

    async def _join(self) -> str:
        if not self._knows_older_peer():
            return await self._contact_and_register()
        if not await self._registration.refresh():
            await self._registration.register()
        return 'members from peers'

    async def _check(self) -> str:
        if await self._registration.refresh():
            return ''
        return await self._contact_and_register()

    async def _contact_and_register(self) -> str:
        rows = await self._registry.nodes()
        others = [
            (row.address.host, row.address.port)
            for row in rows
            if row.address != self._local_address
        ]
        self._rng.shuffle(others)
        for host, port in others[:_MAX_CONTACTS]:
            self._contact(host, port)
        await self._registration.register_beside(rows)
        return f'{len(others)} addresses'

    def _is_alone(self) -> bool:
        return not any(self._live_peers())

    def _knows_older_peer(self) -> bool:
        # The list of a node that started a moment ago, as after a loss of all
        # nodes, is not complete yet.
        local = self._members.local_member()
        return any(
            peer.started_ms + _COMPLETE_LIST_AGE_MS < local.started_ms
            for peer in self._live_peers()
        )

    def _live_peers(self) -> Iterator[Member]:
        local = self._members.local_member()
        for member in self._members.members():
            if member is not local and member.state is not MemberState.DEAD:
                yield member

    def _log_state(self, state: str, detail: str) -> None:
        self._log.write(dependency_changed('node register', state, detail))
