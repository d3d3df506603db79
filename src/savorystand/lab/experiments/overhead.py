"""Latency and CPU time that an entry and a target node add to a call."""

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
_CALLS_PER_ROUND = 1600
_WARM_UP_CALLS = 800
_ROUND_COUNT = 5
_CONNECTION_COUNTS = (1, 16)
_P50 = 0.5
_P99 = 0.99
_ROUTE = 'bins'
_ENTRY_NODE = 'routebook-0'
_TARGET_NODE = 'binwatch-0'


@final
@dataclass(slots=True, kw_only=True)
class _Samples:
    """Latencies in ms: through both nodes and directly at the target.

    The two calls of a pair follow each other immediately.
    """

    full: list[float] = field(default_factory=list)
    direct: list[float] = field(default_factory=list)


class Overhead:
    """Compares calls through two nodes with direct calls to the target.

    The nodes run as deployed, without the network layer that injects faults.
    Rounds alternate between the connection counts, so that the spread over
    the rounds shows the noise of the machine.
    """

    __slots__ = ('_clock', '_rounds', 'report')

    def __init__(self, *, rounds: int = _ROUND_COUNT) -> None:
        """Set the number of rounds; ``run`` fills ``report``."""
        self._clock = Clock()
        self._rounds = rounds
        self.report: Report = {}

    async def run(self) -> None:
        """Measure at each connection count and store the figures.

        Raises:
            ClusterError: a process failed.
            OSError: a call failed.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            cluster = Cluster(
                deployment=_overhead_deployment(),
                directory=Path(name),
                seed=1,
                baseline=False,
                plain=True,
                workers=(_ENTRY_NODE, _TARGET_NODE),
            )
            async with cluster:
                await self._measure(cluster)

    async def _measure(self, cluster: Cluster) -> None:
        rounds: dict[int, list[Figures]] = {
            connections: [] for connections in _CONNECTION_COUNTS
        }
        for connections in _CONNECTION_COUNTS:
            await self._sample_calls(cluster, _WARM_UP_CALLS, connections)
        for _ in range(self._rounds):
            for connections, figures in rounds.items():
                figures.append(await self._measure_round(cluster, connections))
        for connections, figures in rounds.items():
            self.report[f'connections_{connections}'] = {
                'median': _medians(figures),
                'rounds': figures,
            }
        self.report['node_resident_mib'] = cluster.processes.resident_mib(
            cluster.node_names
        )

    async def _measure_round(
        self, cluster: Cluster, connections: int
    ) -> Figures:
        entry_before, target_before = _cpu_seconds(cluster)
        samples = await self._sample_calls(
            cluster, _CALLS_PER_ROUND, connections
        )
        entry_after, target_after = _cpu_seconds(cluster)
        return _figures(
            samples,
            entry_seconds=entry_after - entry_before,
            target_seconds=target_after - target_before,
        )

    async def _sample_calls(
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
        entry = cluster.node(_ENTRY_NODE).callers
        target = cluster.node(_TARGET_NODE).target
        full_client = await RawClient.connect(entry, path)
        direct_client = await RawClient.connect(target, path)
        for _ in range(calls):
            full_ms = await self._call_ms(full_client)
            samples.direct.append(await self._call_ms(direct_client))
            samples.full.append(full_ms)
        await full_client.close()
        await direct_client.close()

    async def _call_ms(self, client: RawClient) -> float:
        started_ms = self._clock.now()
        await client.send()
        return self._clock.now() - started_ms


def _cpu_seconds(cluster: Cluster) -> tuple[float, float]:
    processes = cluster.processes
    return processes.cpu_seconds([_ENTRY_NODE]), processes.cpu_seconds(
        [_TARGET_NODE]
    )


def _figures(
    samples: _Samples,
    *,
    entry_seconds: float,
    target_seconds: float,
) -> Figures:
    calls = len(samples.full)
    figures = {}
    for name, share in (('p50', _P50), ('p99', _P99)):
        full_ms = percentile(samples.full, share)
        direct_ms = percentile(samples.direct, share)
        figures[f'full_{name}_ms'] = full_ms
        figures[f'direct_{name}_ms'] = direct_ms
        figures[f'added_{name}_ms'] = round(full_ms - direct_ms, 3)
    figures['entry_node_us_per_call'] = _us_per_call(entry_seconds, calls)
    figures['target_node_us_per_call'] = _us_per_call(target_seconds, calls)
    # A call costs CPU time on both nodes of its path.
    figures['calls_per_second_per_core'] = round(
        calls / (entry_seconds + target_seconds), 1
    )
    return figures


def _us_per_call(seconds: float, calls: int) -> float:
    return round(seconds * _US_PER_SECOND / calls, 1)


def _medians(rounds: list[Figures]) -> Figures:
    return {
        name: round(median(figures[name] for figures in rounds), 3)
        for name in rounds[0]
    }


def _overhead_deployment() -> Deployment:
    """Return the deployment ``tabua`` with a service time of 0 for lookups."""
    return load_deployment('tabua').with_mean_ms(_ROUTE, 0)
