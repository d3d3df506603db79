"""Processor time of a call at real nodes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.deployments.loading import load_deployment
from savorystand.lab.http_client import HttpClient
from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit

if TYPE_CHECKING:
    from savorystand.lab.slopes.fit import Point
    from savorystand.settings.node import Address

_ROUTE = 'bins'
_TARGET = 'binwatch-0'
_ENTRY = 'routebook-0'
_WARM_UP = 200
_CALLS = 400
_ROUNDS = 5
_CONNECTIONS = 8
_US_PER_SECOND = 1000000
_IDLE_SECONDS = 5


class CallCosts:
    """One entry node and one target's node, each a process."""

    __slots__ = ('_points', '_seed', 'idle_share', 'resident_mib')

    def __init__(self, *, seed: int) -> None:
        """Prepare; ``run`` measures."""
        self._seed = seed
        self._points: dict[str, list[Point]] = {_ENTRY: [], _TARGET: []}
        self.resident_mib: list[float] = []
        # Processor time over time of a node without calls.
        self.idle_share: float = 0

    def slopes(self) -> list[Slope]:
        """Return what was measured."""
        return [
            fit('cpu-entry-call', 'us', 'call', self._points[_ENTRY]),
            fit('cpu-target-call', 'us', 'call', self._points[_TARGET]),
        ]

    async def run(self) -> None:
        """Make calls and read the processes' clocks after each part.

        Raises:
            ClusterError: a process failed.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            cluster = Cluster(
                deployment=load_deployment('tabua').with_mean_ms(_ROUTE, 0),
                directory=Path(name),
                seed=self._seed,
                baseline=False,
                delayed=False,
                workers=(_TARGET, _ENTRY),
            )
            async with cluster:
                await self._measure(cluster)

    async def _measure(self, cluster: Cluster) -> None:
        path = cluster.deployment.route(_ROUTE).path
        entry = cluster.node(_ENTRY).callers
        await _call(entry, path, _WARM_UP)
        await self._rest(cluster)
        start = {name: _spent_us(cluster, name) for name in self._points}
        for made in range(0, _CALLS * _ROUNDS, _CALLS):
            for name, points in self._points.items():
                points.append((made, _spent_us(cluster, name) - start[name]))
            await _call(entry, path, _CALLS)
        self.resident_mib = cluster.processes.resident_mib(cluster.node_names)

    async def _rest(self, cluster: Cluster) -> None:
        names = cluster.node_names
        before = cluster.processes.cpu_seconds(names)
        await anyio.sleep(_IDLE_SECONDS)
        idle = cluster.processes.cpu_seconds(names) - before
        self.idle_share = idle / _IDLE_SECONDS / len(names)


def _spent_us(cluster: Cluster, name: str) -> float:
    return cluster.processes.cpu_seconds([name]) * _US_PER_SECOND


async def _call(entry: Address, path: str, calls: int) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(_CONNECTIONS):
            tasks.start_soon(_call_in_turn, entry, path, calls // _CONNECTIONS)


async def _call_in_turn(entry: Address, path: str, calls: int) -> None:
    client = HttpClient(address=entry)
    for _ in range(calls):
        await client.send('GET', path)
    await client.close()
