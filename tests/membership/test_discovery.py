"""Guards against nodes that later ones do not find through the register."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.membership.discovery import NodeDiscovery
from savorystand.reporting.logs import EventLog
from savorystand.settings.node import Address
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.generation import StoreGeneration
from tests.tables.test_follower import FakeMembership

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskStatus

pytestmark = pytest.mark.anyio


class _Registry:
    """Register that counts additions and may lose all addresses."""

    def __init__(self) -> None:
        self.known: list[Address] = []
        self.added = 0
        self.calls = 0
        self.listed = 0
        self.down = False

    async def add(self, address: Address) -> None:
        self._check()
        self.added += 1
        self.known.append(address)

    async def contains(self, address: Address) -> bool:
        self._check()
        return address in self.known

    async def addresses(self) -> list[Address]:
        self._check()
        self.listed += 1
        return list(self.known)

    def _check(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError('down')


class _Nodes:
    """Nodes that start with one register."""

    def __init__(self, members: int) -> None:
        self.clock = ManualClock()
        self.registry = _Registry()
        self.generation = StoreGeneration()
        self.contacted: list[tuple[str, int]] = []
        self.kernel = Kernel()
        self.membership = FakeMembership('node')
        other = FakeMembership('other').local_member()
        self.membership.others = [other for _ in range(members - 1)]
        self.kernel.register('clock', self.clock)
        self.kernel.register('membership', self.membership)
        self.kernel.register('log', EventLog(clock=self.clock, node_id='aa'))

    async def run(self, number: int, *, task_status: TaskStatus[None]) -> None:
        discovery = NodeDiscovery(
            kernel=self.kernel,
            registry=self.registry,
            generation=self.generation,
            local_address=Address(host='127.0.0.1', port=number),
            contact=lambda host, port: self.contacted.append((host, port)),
            rng=random.Random(number),
        )
        await discovery.run(task_status=task_status)

    async def advance(self, seconds: int) -> None:
        for _ in range(seconds * 10):
            self.clock.advance(100)
            await anyio.wait_all_tasks_blocked()


@asynccontextmanager
async def _running(members: int, count: int) -> AsyncIterator[_Nodes]:
    nodes = _Nodes(members)
    async with anyio.create_task_group() as tasks:
        for number in range(1, count + 1):
            await tasks.start(nodes.run, number)
        await nodes.advance(1)
        yield nodes
        tasks.cancel_scope.cancel()


# Guards against a register that stays without the nodes that a restore of the
# store has dropped (Store-Era).
async def test_node_that_a_restore_dropped_registers_again() -> None:
    """It also contacts the nodes that are registered now."""
    async with _running(members=24, count=1) as nodes:
        nodes.generation.observe(3)
        nodes.registry.known = [Address(host='127.0.0.1', port=99)]
        nodes.registry.down = True
        nodes.generation.observe(4)
        await nodes.advance(2)
        nodes.registry.down = False
        await nodes.advance(2)
        assert Address(host='127.0.0.1', port=1) in nodes.registry.known
        assert nodes.contacted == [('127.0.0.1', 99)]


# Guards against a first restore that is taken for the state at the start.
async def test_store_that_names_its_first_generation_may_have_lost_rows() -> (
    None
):
    """A store may name no generation before its first restore."""
    async with _running(members=24, count=1) as nodes:
        nodes.generation.observe(None)
        nodes.registry.known = []
        nodes.generation.observe(1)
        await nodes.advance(2)
        assert nodes.registry.added == 2


# Guards against writes of nodes whose addresses the restore has kept.
async def test_registered_node_writes_nothing_after_a_restore() -> None:
    """Only lost addresses are written again."""
    async with _running(members=24, count=3) as nodes:
        for generation in (3, 4, 3, 4):
            nodes.generation.observe(generation)
            await nodes.advance(2)
        assert nodes.registry.added == 3


# Guards against a loss that no change of the generation reports.
async def test_lost_address_is_added_without_a_generation() -> None:
    """An older store does not say that it came back from a copy."""
    async with _running(members=24, count=1) as nodes:
        nodes.registry.known = []
        await nodes.advance(70)
        assert nodes.registry.added == 2


# Guards against starts that read the whole register although their peers know
# all members.
async def test_start_beside_older_peers_makes_one_call() -> None:
    """A node that starts again at its address is registered already."""
    nodes = _Nodes(members=24)
    nodes.registry.known = [Address(host='127.0.0.1', port=1)]
    nodes.membership.local = replace(nodes.membership.local, started_ms=9000)
    async with anyio.create_task_group() as tasks:
        await tasks.start(nodes.run, 1)
        await nodes.advance(1)
        tasks.cancel_scope.cancel()
    assert (nodes.registry.calls, nodes.registry.listed) == (1, 0)
    assert nodes.contacted == []


# Guards against writes of all nodes that return from a loss of everything.
async def test_registered_node_writes_nothing_at_its_start() -> None:
    """Its peers have started with it, so that it contacts registered nodes."""
    nodes = _Nodes(members=24)
    nodes.registry.known = [
        Address(host='127.0.0.1', port=port) for port in (1, 2)
    ]
    async with anyio.create_task_group() as tasks:
        await tasks.start(nodes.run, 1)
        await nodes.advance(1)
        tasks.cancel_scope.cancel()
    assert (nodes.registry.calls, nodes.registry.added) == (1, 0)
    assert nodes.contacted == [('127.0.0.1', 2)]


# Guards against two nodes that start together and never find each other.
async def test_node_that_reaches_no_other_reads_the_register_again() -> None:
    """Each may have read before the other was added."""
    async with _running(members=1, count=1) as nodes:
        nodes.registry.known.append(Address(host='127.0.0.1', port=2))
        await nodes.advance(3)
        assert ('127.0.0.1', 2) in nodes.contacted
        nodes.membership.others = [FakeMembership('other').local_member()]
        await nodes.advance(9)
        listed = nodes.registry.listed
        await nodes.advance(20)
        assert nodes.registry.listed == listed


# Guards against writes of all nodes in the same second.
async def test_registrations_after_a_restore_are_spread() -> None:
    """7,700 nodes use half of the 150 writes a second of a partition."""
    async with _running(members=7700, count=150) as nodes:
        nodes.generation.observe(3)
        nodes.registry.known = []
        nodes.registry.added = 0
        nodes.generation.observe(4)
        seconds = []
        for _ in range(104):
            before = nodes.registry.added
            await nodes.advance(1)
            seconds.append(nodes.registry.added - before)
        assert nodes.registry.added == 150
        # About 1.5 of these 150 nodes a second, as 75 of 7,700.
        assert max(seconds) <= 8
