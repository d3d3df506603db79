"""Latency and processor time that two nodes add to a call."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from statistics import median
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import final

import anyio

from savorystand.clock import Clock
from savorystand.lab.callers.accounting import percentile
from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.deployments.loading import load_deployment
from savorystand.lab.raw_client import RawClient

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment

Report: TypeAlias = dict[str, Any]
Figures: TypeAlias = dict[str, float]

_US_PER_SECOND = 1000000
_CALLS = 1600
_WARM_UP = 800
_ROUNDS = 5
_CONNECTIONS = (1, 16)
_P50 = 0.5
_P99 = 0.99
_ROUTE = 'bins'
_ENTRY = 'routebook-0'
_TARGET = 'binwatch-0'


@final
@dataclass(slots=True, kw_only=True)
class _Samples:
    """Latencies in milliseconds; each pair was measured back to back."""

    full: list[float] = field(default_factory=list)
    direct: list[float] = field(default_factory=list)


class Overhead:
    """Interleaves calls through two nodes with direct calls.

    The nodes run as deployed, without the network that injects faults.
    Rounds alternate between the numbers of connections, so that the spread
    over the rounds shows the noise of the machine.
    """

    __slots__ = ('_clock', '_rounds', 'report')

    def __init__(self, *, rounds: int = _ROUNDS) -> None:
        """Prepare; ``run`` fills ``report``."""
        self._clock = Clock()
        self._rounds = rounds
        self.report: Report = {}

    async def run(self) -> None:
        """Measure at each number of connections.

        Raises:
            ClusterError: a process failed.
            OSError: a call failed.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            cluster = Cluster(
                deployment=_small(),
                directory=Path(name),
                seed=1,
                baseline=False,
                plain=True,
                workers=(_ENTRY, _TARGET),
            )
            async with cluster:
                await self._measure(cluster)

    async def _measure(self, cluster: Cluster) -> None:
        rounds: dict[int, list[Figures]] = {
            number: [] for number in _CONNECTIONS
        }
        for number in _CONNECTIONS:
            await self._compare(cluster, _WARM_UP, number)
        for _ in range(self._rounds):
            for number, figures in rounds.items():
                figures.append(await self._round(cluster, number))
        for number, figures in rounds.items():
            self.report[f'connections_{number}'] = {
                'median': _medians(figures),
                'rounds': figures,
            }
        self.report['node_resident_mib'] = cluster.processes.resident_mib(
            cluster.node_names
        )

    async def _round(self, cluster: Cluster, number: int) -> Figures:
        entry_before, target_before = _spent(cluster)
        samples = await self._compare(cluster, _CALLS, number)
        entry_after, target_after = _spent(cluster)
        return _figures(
            samples,
            entry_seconds=entry_after - entry_before,
            target_seconds=target_after - target_before,
        )

    async def _compare(
        self,
        cluster: Cluster,
        calls: int,
        connections: int,
    ) -> _Samples:
        samples = _Samples()
        async with anyio.create_task_group() as tasks:
            for _ in range(connections):
                tasks.start_soon(
                    self._call_both, cluster, calls // connections, samples
                )
        return samples

    async def _call_both(
        self,
        cluster: Cluster,
        calls: int,
        samples: _Samples,
    ) -> None:
        path = cluster.deployment.route(_ROUTE).path
        entry = cluster.node(_ENTRY).callers
        target = cluster.node(_TARGET).target
        through = await RawClient.connect(entry, path)
        straight = await RawClient.connect(target, path)
        for _ in range(calls):
            full_ms = await self._time(through)
            samples.direct.append(await self._time(straight))
            samples.full.append(full_ms)
        await through.close()
        await straight.close()

    async def _time(self, client: RawClient) -> float:
        started = self._clock.now()
        await client.send()
        return self._clock.now() - started


def _spent(cluster: Cluster) -> tuple[float, float]:
    processes = cluster.processes
    return processes.cpu_seconds([_ENTRY]), processes.cpu_seconds([_TARGET])


def _figures(
    samples: _Samples,
    *,
    entry_seconds: float,
    target_seconds: float,
) -> Figures:
    calls = len(samples.full)
    figures = {}
    for name, share in (('p50', _P50), ('p99', _P99)):
        through = percentile(samples.full, share)
        straight = percentile(samples.direct, share)
        figures[f'full_{name}_ms'] = through
        figures[f'direct_{name}_ms'] = straight
        figures[f'added_{name}_ms'] = round(through - straight, 3)
    figures['entry_node_us_per_call'] = _microseconds(entry_seconds, calls)
    figures['target_node_us_per_call'] = _microseconds(target_seconds, calls)
    # Both nodes on the path count.
    figures['calls_per_second_per_core'] = round(
        calls / (entry_seconds + target_seconds), 1
    )
    return figures


def _microseconds(seconds: float, calls: int) -> float:
    return round(seconds * _US_PER_SECOND / calls, 1)


def _medians(rounds: list[Figures]) -> Figures:
    return {
        name: round(median(figures[name] for figures in rounds), 3)
        for name in rounds[0]
    }


def _small() -> Deployment:
    """Return Tabua with lookups that take the target no time."""
    return load_deployment('tabua').with_mean_ms(_ROUTE, 0)
