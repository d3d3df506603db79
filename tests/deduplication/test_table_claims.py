"""Guards against two homes of one key and against waits during an outage.

Lost responses leave it open whether a claim was written. Without the circuit
breaker, each request would wait for a table service that is down.
"""

from __future__ import annotations

from typing import TypeAlias

import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.claims import HeldElsewhere
from savorystand.deduplication.claims import Unresolved
from savorystand.deduplication.table_claims import TableClaims
from tests.fakes.store import FAULTS
from tests.fakes.store import AutoAdvanceClock
from tests.fakes.store import FakeItemStore

_NODES = ('node0', 'node1')
_KEYS = 4
_FAULTS = st.lists(st.sampled_from(FAULTS), max_size=8)
_NodeKey: TypeAlias = tuple[str, int]
_NodeClaim: TypeAlias = tuple[str, str]
_CLAIMED_KEYS = st.lists(
    st.tuples(st.sampled_from(_NODES), st.integers(0, _KEYS - 1)),
    min_size=1,
    max_size=8,
)


class ClaimsMachine(RuleBasedStateMachine):
    """Lets two nodes claim the same keys in one store with faults."""

    def __init__(self) -> None:
        """Start with an empty store and no holders."""
        super().__init__()
        self.store = FakeItemStore()
        self.claim_numbers: dict[_NodeKey, int] = {}
        self.holders: dict[int, set[_NodeClaim]] = {}
        self.unresolved = 0
        self.named_homes: dict[int, set[str]] = {}

    @rule(node_keys=_CLAIMED_KEYS, faults=_FAULTS)
    def claim(self, node_keys: list[_NodeKey], faults: list[str]) -> None:
        """Claim keys concurrently, some of them twice."""
        self.store.faults.extend(faults)
        self.unresolved = 0
        anyio.run(self._claim_all, node_keys)
        self.store.faults.clear()
        # Existing rows must not prevent the other claims of the batch.
        assert faults or not self.unresolved

    @rule(node=st.sampled_from(_NODES), key=st.integers(0, _KEYS - 1))
    def forget(self, node: str, key: int) -> None:
        """Drop a node's record, so that its next claim has a new id."""
        self.claim_numbers[node, key] = (
            self.claim_numbers.get((node, key), 0) + 1
        )

    @rule()
    def arrive(self) -> None:
        """Let a write arrive late, after its claim ended without a response."""
        self.store.apply_late_write()

    @invariant()
    def one_holder(self) -> None:
        """At most one claim of one node has ever been ``Claimed``."""
        for key, holders in self.holders.items():
            assert len(holders) <= 1
            nodes = {node for node, _ in holders}
            assert len(nodes | self.named_homes.get(key, set())) <= 1

    async def _claim_all(self, node_keys: list[_NodeKey]) -> None:
        services = {
            node: TableClaims(
                store=self.store,
                clock=AutoAdvanceClock(),
                node_id=node,
            )
            for node in _NODES
        }
        async with anyio.create_task_group() as tasks:
            for service in services.values():
                await tasks.start(_run, service)
            async with anyio.create_task_group() as claims:
                for node, key in node_keys:
                    claims.start_soon(self._claim, services[node], node, key)
            tasks.cancel_scope.cancel()

    async def _claim(self, service: TableClaims, node: str, key: int) -> None:
        number = self.claim_numbers.get((node, key), 0)
        claim_attempt = f'{node}-{number}'
        match await service.claim(f'key{key}', claim_attempt):
            case Claimed():
                self.holders.setdefault(key, set()).add((node, claim_attempt))
            case HeldElsewhere(node_id=holder):
                self.named_homes.setdefault(key, set()).add(holder)
            case Unresolved():
                self.unresolved += 1


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=60, stateful_step_count=30)


async def _run(service: TableClaims, *, task_status: object) -> None:
    await service.run(task_status=task_status)


@pytest.mark.anyio
async def test_claims_share_writes_and_stop_during_an_outage() -> None:
    """Claims share writes and do not each wait for a failed table service."""
    store = FakeItemStore()
    clock = AutoAdvanceClock()
    service = TableClaims(store=store, clock=clock, node_id='node0')
    async with anyio.create_task_group() as tasks:
        await tasks.start(_run, service)
        async with anyio.create_task_group() as claims:
            for number in range(60):
                claims.start_soon(service.claim, f'key{number}', 'a')
        assert len(store.stored) == 60
        assert len(store.tokens) <= 4
        store.faults.extend(('down', 'down', 'down'))
        for number in range(3):
            assert isinstance(
                await service.claim(f'x{number}', 'a'), Unresolved
            )
        refused = await service.claim('key1', 'a')
        assert isinstance(refused, Unresolved)
        await clock.sleep(1000)
        assert isinstance(await service.claim('key1', 'a'), Claimed)
        tasks.cancel_scope.cancel()
