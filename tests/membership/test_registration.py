"""Guards against departures that are lost with the process that knows them.

A target relies on its node once that has acknowledged its departure (review/4).
"""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.departures.departure import Departure
from savorystand.departures.departure import DepartureSource
from savorystand.departures.departures import Departures
from savorystand.departures.row import decode_departures
from savorystand.departures.row import encode_departures
from savorystand.kernel.kernel import Kernel
from savorystand.membership.registration import Registration
from savorystand.reporting.logs import EventLog
from savorystand.settings.node import Address
from savorystand.target_notice import Incarnation
from tests.membership.fake_registry import FakeRegistry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio
_ADDRESS = Address(host='127.0.0.1', port=1)
_TARGET = Incarnation(instance='i-1', started_ms=1000)
_DEPARTURE = Departure(instance='i-1', started_ms=1000)


class _Process:
    """A process of the node at ``_ADDRESS``."""

    def __init__(
        self, registry: FakeRegistry, clock: ManualClock | None = None
    ) -> None:
        self.clock = clock or ManualClock()
        log = EventLog(clock=self.clock, node_id='node')
        self.departures = Departures(clock=self.clock, log=log)
        kernel = Kernel()
        kernel.register('clock', self.clock)
        kernel.register('log', log)
        kernel.register('departures', self.departures)
        self.registration = Registration(
            kernel=kernel,
            registry=registry,
            address=_ADDRESS,
            rng=random.Random(1),
        )

    def record(self, departure: Departure = _DEPARTURE) -> None:
        self.departures.record(departure, DepartureSource.DEREGISTERED)

    async def advance(self, ms: int) -> None:
        for _ in range(ms // 100):
            self.clock.advance(100)
            await anyio.wait_all_tasks_blocked()

    async def is_saved(self) -> bool:
        """Return whether all departures are saved by now."""
        await anyio.wait_all_tasks_blocked()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._advance_soon)
            return await self.departures.wait_saved(0)

    async def _advance_soon(self) -> None:
        await anyio.wait_all_tasks_blocked()
        self.clock.advance(0)


@asynccontextmanager
async def _started(
    registry: FakeRegistry, clock: ManualClock | None = None
) -> AsyncIterator[_Process]:
    process = _Process(registry, clock)
    async with anyio.create_task_group() as tasks:
        await tasks.start(process.registration.run)
        yield process
        # A kill: nothing is finished.
        tasks.cancel_scope.cancel()


def _registered() -> FakeRegistry:
    registry = FakeRegistry()
    registry.store(_ADDRESS)
    return registry


async def test_departure_outlasts_the_process_that_saved_it() -> None:
    """The next process reads its row in any case, when it joins."""
    registry = _registered()
    async with _started(registry) as process:
        assert await process.registration.refresh()
        process.record()
        assert await process.is_saved()
    async with _started(registry) as process:
        assert process.departures.find(_TARGET) is None
        await process.registration.refresh()
        assert process.departures.find(_TARGET) is DepartureSource.STORE
    assert registry.calls == {'read': 2, 'write': 1}


async def test_departure_before_the_first_read_keeps_earlier_ones() -> None:
    """The node writes nothing before it has read what its row holds."""
    registry = _registered()
    earlier = Departure(instance='i-0', started_ms=500)
    registry.store(_ADDRESS, encode_departures([earlier]))
    async with _started(registry) as process:
        process.record()
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert set(stored) == {earlier, _DEPARTURE}


async def test_departure_of_an_unregistered_node_is_saved() -> None:
    """The row that holds it registers the node as well."""
    registry = FakeRegistry()
    async with _started(registry) as process:
        process.record()
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert stored == (_DEPARTURE,)


async def test_departure_is_not_saved_while_the_store_is_away() -> None:
    """It is written once the store is back."""
    registry = _registered()
    async with _started(registry) as process:
        registry.down = True
        process.record()
        await process.advance(5000)
        assert not await process.is_saved()
        registry.down = False
        await process.advance(400)
        assert await process.is_saved()


# Guards against calls from the last moments of a silent outage that delay what
# follows for long after its end.
@pytest.mark.parametrize('silent_ms', [100, 700, 1400, 1500, 1700, 3300])
async def test_departure_in_a_silent_outage_is_saved_soon_after_it(
    silent_ms: int,
) -> None:
    """The target is told within 4 s that its departure is saved."""
    clock = ManualClock()
    registry = FakeRegistry(clock)
    registry.store(_ADDRESS)
    async with _started(registry, clock) as process:
        await process.registration.refresh()
        registry.silent = True
        process.record()
        await process.advance(silent_ms)
        registry.silent = False
        # The call in progress fails up to 1.5 s later, the next one 0.3 s after.
        await process.advance(1900)
        assert await process.is_saved()


@pytest.mark.parametrize('lost_responses', [1, 3])
async def test_departure_is_saved_although_responses_are_lost(
    lost_responses: int,
) -> None:
    """A write without a response may have been executed."""
    registry = _registered()
    registry.lost_responses = lost_responses
    async with _started(registry) as process:
        process.record()
        await process.advance(2000)
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert stored == (_DEPARTURE,)


async def test_row_that_another_process_has_changed_is_read_again() -> None:
    """A late write of an earlier process must not be overwritten."""
    registry = _registered()
    earlier = Departure(instance='i-0', started_ms=500)
    async with _started(registry) as process:
        await process.registration.refresh()
        registry.store(_ADDRESS, encode_departures([earlier]))
        process.record()
        assert not await process.is_saved()
        await process.advance(400)
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert set(stored) == {earlier, _DEPARTURE}


# Guards against departures that a restore of the store has dropped (Store-Era).
async def test_departure_that_a_restore_dropped_is_written_again() -> None:
    """The node checks its row after a restore."""
    registry = _registered()
    async with _started(registry) as process:
        process.record()
        assert await process.is_saved()
        registry.store(_ADDRESS)
        await process.registration.refresh()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert stored == (_DEPARTURE,)


async def test_later_departures_do_not_displace_an_unsaved_one() -> None:
    """Only a few of those that are saved stay in the row."""
    registry = _registered()
    registry.down = True
    departures = [
        Departure(instance=f'i-{number}', started_ms=number)
        for number in range(8)
    ]
    async with _started(registry) as process:
        for departure in departures:
            process.record(departure)
        registry.down = False
        await process.advance(400)
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert set(stored) == set(departures)


# Guards against work for a target before its departure is known.
async def test_target_gets_no_work_before_the_row_is_read() -> None:
    """Its late announcement may arrive first."""
    async with _started(_registered()) as process:
        assert not process.departures.earlier_known
        await process.registration.refresh()
        assert process.departures.earlier_known


# Guards against targets without work for as long as the store is away.
async def test_target_gets_work_after_a_second_without_the_store() -> None:
    """What the row holds counts once it can be read."""
    registry = _registered()
    registry.store(_ADDRESS, encode_departures([_DEPARTURE]))
    async with _started(registry) as process:
        await process.advance(900)
        assert not process.departures.earlier_known
        await process.advance(100)
        assert process.departures.earlier_known
        await process.registration.refresh()
        assert process.departures.find(_TARGET) is DepartureSource.STORE


# Guards against a write for each replacement of a crashed target.
async def test_replaced_incarnations_are_saved_with_the_next_departure() -> (
    None
):
    """Nobody relies on the node to remember them."""
    registry = _registered()
    replaced = Departure(instance='i-0', started_ms=500)
    async with _started(registry) as process:
        await process.registration.refresh()
        process.departures.record(replaced, DepartureSource.REPLACED)
        await process.registration.refresh()
        assert registry.calls['write'] == 0
        process.record()
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert stored == (replaced, _DEPARTURE)


# Guards against an acknowledgement of a departure that was known, but not saved.
@pytest.mark.parametrize(
    'source', [DepartureSource.CALLER, DepartureSource.REPLACED]
)
async def test_known_departure_is_saved_once_the_target_relies_on_it(
    source: DepartureSource,
) -> None:
    """Until then nobody has to be told that it is saved."""
    registry = _registered()
    async with _started(registry) as process:
        await process.registration.refresh()
        process.departures.record(_DEPARTURE, source)
        registry.down = True
        process.record()
        assert not await process.is_saved()
        registry.down = False
        await process.advance(400)
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert stored == (_DEPARTURE,)


@pytest.mark.parametrize(
    'payload',
    [
        b'\xff',
        b'{}',
        b'7',
        b'[7,null,["i-1"],["i-1",true,0],["",1,0],["i-1",1.5,0]]',
        b'[' * 100000,
    ],
)
async def test_odd_payloads_of_a_row_are_skipped(payload: bytes) -> None:
    """Another writer may have left them."""
    registry = FakeRegistry()
    registry.store(_ADDRESS, payload)
    async with _started(registry) as process:
        process.record()
        assert await process.is_saved()
    stored = decode_departures(registry.rows[_ADDRESS].payload)
    assert stored == (_DEPARTURE,)
