"""Guards against nodes that later ones do not find through the register."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.departures.departures import Departures
from savorystand.kernel.kernel import Kernel
from savorystand.membership.discovery import NodeDiscovery
from savorystand.membership.registration import Registration
from savorystand.reporting.logs import EventLog
from savorystand.settings.node import Address
from savorystand.store.generation import StoreGeneration
from tests.membership.fake_registry import FakeRegistry
from tests.tables.test_follower import FakeMembership

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskStatus

pytestmark = pytest.mark.anyio


class _Nodes:
    """Nodes that start with one register."""

    def __init__(self, members: int) -> None:
        self.clock = ManualClock()
        self.registry = FakeRegistry()
        self.generation = StoreGeneration()
        self.contacted: list[tuple[str, int]] = []
        self.membership = FakeMembership('node')
        other = FakeMembership('other').local_member()
        self.membership.others = [other for _ in range(members - 1)]

    async def run(self, number: int, *, task_status: TaskStatus[None]) -> None:
        address = Address(host='127.0.0.1', port=number)
        kernel = Kernel()
        log = EventLog(clock=self.clock, node_id='aa')
        kernel.register('clock', self.clock)
        kernel.register('membership', self.membership)
        kernel.register('log', log)
        kernel.register('departures', Departures(clock=self.clock, log=log))
        registration = Registration(
            kernel=kernel,
            registry=self.registry,
            address=address,
            rng=random.Random(number),
        )
        kernel.register('registration', registration)
        discovery = NodeDiscovery(
            kernel=kernel,
            registry=self.registry,
            generation=self.generation,
            local_address=address,
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
        nodes.registry.rows = {}
        nodes.registry.store(Address(host='127.0.0.1', port=99))
        nodes.registry.down = True
        nodes.generation.observe(4)
        await nodes.advance(2)
        nodes.registry.down = False
        await nodes.advance(2)
        assert Address(host='127.0.0.1', port=1) in nodes.registry.rows
        assert nodes.contacted == [('127.0.0.1', 99)]


# Guards against a first restore that is taken for the state at the start.
async def test_store_that_names_its_first_generation_may_have_lost_rows() -> (
    None
):
    """A store may name no generation before its first restore."""
    async with _running(members=24, count=1) as nodes:
        nodes.generation.observe(None)
        nodes.registry.rows = {}
        nodes.generation.observe(1)
        await nodes.advance(2)
        assert nodes.registry.calls['write'] == 2


# Guards against writes of nodes whose addresses the restore has kept.
async def test_registered_node_writes_nothing_after_a_restore() -> None:
    """Only lost addresses are written again."""
    async with _running(members=24, count=3) as nodes:
        for generation in (3, 4, 3, 4):
            nodes.generation.observe(generation)
            await nodes.advance(2)
        assert nodes.registry.calls['write'] == 3


# Guards against a loss that no change of the generation reports.
async def test_lost_address_is_added_without_a_generation() -> None:
    """An older store does not say that it came back from a copy."""
    async with _running(members=24, count=1) as nodes:
        nodes.registry.rows = {}
        await nodes.advance(70)
        assert nodes.registry.calls['write'] == 2


# Guards against starts that read the whole register although their peers know
# all members.
async def test_start_beside_older_peers_makes_one_call() -> None:
    """A node that starts again at its address is registered already."""
    nodes = _Nodes(members=24)
    nodes.registry.store(Address(host='127.0.0.1', port=1))
    nodes.membership.local = replace(nodes.membership.local, started_ms=9000)
    async with anyio.create_task_group() as tasks:
        await tasks.start(nodes.run, 1)
        await nodes.advance(1)
        tasks.cancel_scope.cancel()
    assert nodes.registry.calls == {'read': 1}
    assert nodes.contacted == []


# Guards against writes of all nodes that return from a loss of everything.
async def test_registered_node_writes_nothing_at_its_start() -> None:
    """Its peers have started with it, so that it contacts registered nodes."""
    nodes = _Nodes(members=24)
    for port in (1, 2):
        nodes.registry.store(Address(host='127.0.0.1', port=port))
    async with anyio.create_task_group() as tasks:
        await tasks.start(nodes.run, 1)
        await nodes.advance(1)
        tasks.cancel_scope.cancel()
    assert nodes.registry.calls == {'nodes': 1}
    assert nodes.contacted == [('127.0.0.1', 2)]


# Guards against two nodes that start together and never find each other.
async def test_node_that_reaches_no_other_reads_the_register_again() -> None:
    """Each may have read before the other was added."""
    async with _running(members=1, count=1) as nodes:
        nodes.registry.store(Address(host='127.0.0.1', port=2))
        await nodes.advance(3)
        assert ('127.0.0.1', 2) in nodes.contacted
        nodes.membership.others = [FakeMembership('other').local_member()]
        await nodes.advance(9)
        listed = nodes.registry.calls['nodes']
        await nodes.advance(20)
        assert nodes.registry.calls['nodes'] == listed


# Guards against writes of all nodes in the same second.
async def test_registrations_after_a_restore_are_spread() -> None:
    """7,700 nodes use half of the 150 writes a second of a partition."""
    async with _running(members=7700, count=150) as nodes:
        nodes.generation.observe(3)
        nodes.registry.rows = {}
        nodes.registry.calls.clear()
        nodes.generation.observe(4)
        seconds = []
        for _ in range(104):
            before = nodes.registry.calls['write']
            await nodes.advance(1)
            seconds.append(nodes.registry.calls['write'] - before)
        assert nodes.registry.calls['write'] == 150
        # About 1.5 of these 150 nodes a second, as 75 of 7,700.
        assert max(seconds) <= 8
