"""Guards against a restart of everything that the load turns into an outage.

All nodes and targets start at the same moment, the targets are slow at first,
and the callers are back at once. The last pool of the call chain is the
smallest: what it refuses has cost work in all pools above.
"""

from __future__ import annotations

import anyio

from savorystand.call import Importance
from savorystand.clock import MS_PER_SECOND
from tests.simulation.estate import Estate
from tests.simulation.estate import Operation
from tests.simulation.running import run_in_virtual_time

_OPERATIONS = (
    Operation(
        name='lookup',
        pool='catalog',
        work_ms=300,
        limit_ms=5000,
        calls=('stock',),
    ),
    Operation(
        name='confirm',
        pool='orders',
        work_ms=400,
        limit_ms=5000,
        importance=Importance.CRITICAL,
        calls=('index',),
    ),
    Operation(
        name='stock', pool='orders', work_ms=15, limit_ms=2500, calls=('index',)
    ),
    Operation(
        name='index',
        pool='sheets',
        work_ms=15,
        limit_ms=2000,
        calls=('price', 'price', 'price', 'price'),
    ),
    Operation(name='price', pool='prices', work_ms=100, limit_ms=700),
)
_REGIONS = ('north', 'south')
_COLD_MS = 3000
# Calls a second that the 4 targets of the last pool can serve while they work
# at half speed: 30 slots each, 200 ms a call.
_COLD_CAPACITY = 600
_CALLS_PER_REQUEST = 4
_LOOKUPS_PER_CONFIRM = 2


def _restart(load: float) -> Estate:
    """Start all nodes; ``load`` is a fraction of the cold capacity.

    Callers whose requests were lost while everything was down send them
    again: half as many more requests in the first second.
    """
    estates: list[Estate] = []

    async def scenario() -> None:
        estate = Estate(operations=_OPERATIONS, seed=1, cold_ms=_COLD_MS)
        estates.append(estate)
        for pool, slots, count in (
            ('catalog', 30, 15),
            ('orders', 30, 12),
            ('sheets', 35, 3),
            ('prices', 30, 2),
        ):
            regions = dict.fromkeys(_REGIONS, count)
            estate.add_pool(pool, slots=slots, regions=regions)
        per_second = load * _COLD_CAPACITY / _CALLS_PER_REQUEST
        confirms = per_second / (_LOOKUPS_PER_CONFIRM + 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(estate.spread_members, 300)
            for name, rate in (
                ('confirm', confirms),
                ('lookup', confirms * _LOOKUPS_PER_CONFIRM),
            ):
                tasks.start_soon(estate.send_requests, name, rate, 6000)
                tasks.start_soon(
                    estate.send_requests, name, rate / 2, MS_PER_SECOND
                )

    run_in_virtual_time(scenario)
    return estates[0]


# Guards against targets that hold slots back although no other target can take
# the calls.
def test_pool_of_new_targets_serves_what_its_slots_can_carry() -> None:
    """The load stays below the capacity of the slow targets."""
    tally = _restart(load=0.9).tally
    assert tally.served_percent(0, 1) > 95
    assert tally.served_percent(1, 6) > 98
