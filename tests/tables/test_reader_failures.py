"""Guards against changes that arrive late because few nodes read the store.

Two nodes of each failure domain wait at the store for changes. A change has to
be in force on all nodes in time whatever happens to these two, and the calls of
the store must not grow with the number of nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from tests.simulation.followers import APPLY_MS
from tests.simulation.followers import FollowerEstate
from tests.simulation.running import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_DOMAINS = 4
_SETTLED_MS = 6000
_SEEDS = (1, 2, 3)


def _play(
    scenario: Callable[[FollowerEstate], Awaitable[None]],
    *,
    seed: int = 1,
    per_domain: int = 6,
) -> FollowerEstate:
    """Run a scenario with nodes that have followed the store for a while."""
    estate = FollowerEstate(seed=seed)

    async def run() -> None:
        estate.add(_DOMAINS, per_domain)
        async with anyio.create_task_group() as tasks:
            for node in list(estate.nodes.values()):
                tasks.start_soon(estate.run_node, node)
            await estate.clock.sleep(_SETTLED_MS)
            assert not estate.behind()
            await scenario(estate)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)
    return estate


async def _change_in_time(estate: FollowerEstate) -> None:
    estate.revision += 1
    await estate.clock.sleep(APPLY_MS)
    assert not estate.behind()


# Guards against a change that only the readers have in time.
@pytest.mark.parametrize('seed', _SEEDS)
def test_change_reaches_all_nodes_within_a_tenth_of_the_time(seed: int) -> None:
    """All are well: the readers hear of it, the others from them."""

    async def change(estate: FollowerEstate) -> None:
        estate.revision += 1
        await estate.clock.sleep(APPLY_MS / 10)
        assert not estate.behind()

    _play(change, seed=seed)


# Guards against a failure domain that waits for readers that have been killed.
@pytest.mark.parametrize('seed', _SEEDS)
def test_change_is_in_force_after_the_readers_were_killed(seed: int) -> None:
    """The others still count them as alive."""

    async def kill(estate: FollowerEstate) -> None:
        for node in estate.readers():
            estate.kill(node)
        await _change_in_time(estate)

    _play(kill, seed=seed)


# Guards against readers that the store turns away and that nobody replaces.
@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('fault', ['refused', 'lost'])
def test_change_is_in_force_although_no_reader_is_served(
    seed: int, fault: str
) -> None:
    """The readers are alive, and their requests are refused or lost."""

    async def refuse(estate: FollowerEstate) -> None:
        for node in estate.readers():
            setattr(node, fault, True)
        await _change_in_time(estate)

    _play(refuse, seed=seed)


# Guards against a node that relies on readers which it no longer hears.
@pytest.mark.parametrize('seed', _SEEDS)
def test_change_is_in_force_on_nodes_that_reach_only_the_store(
    seed: int,
) -> None:
    """Readers and other nodes lose their peers at the moment of the change."""

    async def cut(estate: FollowerEstate) -> None:
        estate.cut_off = set(list(estate.nodes)[::3])
        await _change_in_time(estate)
        await _change_in_time(estate)

    _play(cut, seed=seed)


# Guards against a loss of all feed requests at the same moment.
@pytest.mark.parametrize('seed', _SEEDS)
def test_change_is_in_force_after_all_requests_were_lost(seed: int) -> None:
    """Nothing reports the loss; requests sent later are answered."""

    async def lose(estate: FollowerEstate) -> None:
        nodes = list(estate.nodes.values())
        for node in nodes:
            node.lost = True
        estate.revision += 1
        await estate.clock.sleep(100)
        for node in nodes:
            node.lost = False
        await estate.clock.sleep(APPLY_MS - 100)
        assert not estate.behind()

    _play(lose, seed=seed)


# Guards against a node that starts between two changes and misses the second.
@pytest.mark.parametrize('seed', _SEEDS)
def test_node_that_starts_amid_changes_has_the_last_one(seed: int) -> None:
    """It gets the first from a peer."""

    async def start(estate: FollowerEstate) -> None:
        async with anyio.create_task_group() as tasks:
            newcomer = estate.add_newcomer(1)
            tasks.start_soon(estate.run_node, newcomer)
            for _ in range(8):
                estate.revision += 1
                await estate.clock.sleep(200)
            await estate.clock.sleep(APPLY_MS)
            assert not estate.behind()
            tasks.cancel_scope.cancel()

    _play(start, seed=seed)


# Guards against calls of the store that grow with the number of nodes.
def test_calls_depend_on_failure_domains_not_on_nodes() -> None:
    """Idle for 20 s, then ten changes; a node starts with one call."""

    async def idle_and_change(estate: FollowerEstate) -> None:
        before = estate.store_calls()
        await estate.clock.sleep(20000)
        for _ in range(10):
            estate.revision += 1
            await estate.clock.sleep(500)
        calls.append(estate.store_calls() - before)

    calls: list[int] = []
    for per_domain in (6, 24):
        _play(idle_and_change, per_domain=per_domain)
    # Eight readers: six reads a second in 25 s, and one after each change.
    assert max(calls) < 25 * 6 * 1.3 + 10 * 8
    assert calls[1] < calls[0] * 1.3


# Guards against a start of all nodes that reads the store more than once each.
def test_start_of_all_nodes_reads_the_store_once_each() -> None:
    """Nobody has the tables yet, so that no peer can pass them on."""

    async def nothing(estate: FollowerEstate) -> None:
        started.append(estate.store_calls())

    started: list[int] = []
    _play(nothing, per_domain=24)
    readers = 2 * _DOMAINS
    assert started[0] < 24 * _DOMAINS + 6 * 6 * 1.3 + readers
