"""CPU time of a call on node processes."""

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
_TARGET_NODE = 'binwatch-0'
_ENTRY_NODE = 'routebook-0'
_WARM_UP_CALLS = 200
_CALLS_PER_ROUND = 400
_ROUND_COUNT = 5
_CONNECTION_COUNT = 8
_US_PER_SECOND = 1000000
_IDLE_SECONDS = 5


class CallCosts:
    """Measures CPU time per call on an entry and a target node process."""

    __slots__ = ('_points', '_seed', 'idle_share', 'resident_mib')

    def __init__(self, *, seed: int) -> None:
        """Set the seed; ``run`` measures."""
        self._seed = seed
        self._points: dict[str, list[Point]] = {
            _ENTRY_NODE: [],
            _TARGET_NODE: [],
        }
        self.resident_mib: list[float] = []
        # Mean fraction of a core that a node uses without calls.
        self.idle_share: float = 0

    def slopes(self) -> list[Slope]:
        """Return the slopes of CPU time by number of calls."""
        return [
            fit('cpu-entry-call', 'us', 'call', self._points[_ENTRY_NODE]),
            fit('cpu-target-call', 'us', 'call', self._points[_TARGET_NODE]),
        ]

    async def run(self) -> None:
        """Send calls and read the CPU time of both nodes after each round.

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
                workers=(_TARGET_NODE, _ENTRY_NODE),
            )
            async with cluster:
                await self._measure(cluster)

    async def _measure(self, cluster: Cluster) -> None:
        path = cluster.deployment.route(_ROUTE).path
        entry = cluster.node(_ENTRY_NODE).callers
        await _send_calls(entry, path, _WARM_UP_CALLS)
        await self._measure_idle(cluster)
        start_us = {name: _cpu_us(cluster, name) for name in self._points}
        for calls_made in range(
            0, _CALLS_PER_ROUND * _ROUND_COUNT, _CALLS_PER_ROUND
        ):
            for name, points in self._points.items():
                points.append(
                    (calls_made, _cpu_us(cluster, name) - start_us[name])
                )
            await _send_calls(entry, path, _CALLS_PER_ROUND)
        self.resident_mib = cluster.processes.resident_mib(cluster.node_names)

    async def _measure_idle(self, cluster: Cluster) -> None:
        names = cluster.node_names
        before_seconds = cluster.processes.cpu_seconds(names)
        await anyio.sleep(_IDLE_SECONDS)
        idle_seconds = cluster.processes.cpu_seconds(names) - before_seconds
        self.idle_share = idle_seconds / _IDLE_SECONDS / len(names)


def _cpu_us(cluster: Cluster, name: str) -> float:
    return cluster.processes.cpu_seconds([name]) * _US_PER_SECOND


async def _send_calls(entry: Address, path: str, calls: int) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(_CONNECTION_COUNT):
            tasks.start_soon(
                _send_sequentially, entry, path, calls // _CONNECTION_COUNT
            )


async def _send_sequentially(entry: Address, path: str, calls: int) -> None:
    client = HttpClient(address=entry)
    for _ in range(calls):
        await client.send('GET', path)
    await client.close()
