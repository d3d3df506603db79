"""Latency that two nodes add to a call."""

from __future__ import annotations

import tempfile
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.lab.callers.accounting import percentile
from savorystand.lab.deployments.estate import Estate
from savorystand.lab.deployments.loading import deployment_of
from savorystand.lab.http_client import HttpClient

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.settings.node import Address

Report: TypeAlias = dict[str, Any]
_Send: TypeAlias = Callable[[], Awaitable[object]]

_CALLS = 1500
_WARM_UP = 100
_CONNECTIONS = (1, 16)
_P50 = 0.5
_P99 = 0.99
_ROUTE = 'bins'
_WORKERS = ('binwatch-0', 'routebook-0')


class Overhead:
    """Interleaves calls through two nodes with direct calls."""

    __slots__ = ('_clock', 'report')

    def __init__(self) -> None:
        """Prepare; ``run`` fills ``report``."""
        self._clock = Clock()
        self.report: Report = {}

    async def run(self) -> None:
        """Measure at each number of connections.

        Raises:
            EstateError: a process failed.
        """
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            estate = Estate(
                deployment=_small(),
                directory=Path(name),
                seed=1,
                baseline=False,
                delayed=False,
                workers=_WORKERS,
            )
            async with estate:
                await self._measure(estate)

    async def _measure(self, estate: Estate) -> None:
        path = estate.deployment.route(_ROUTE).path
        entry = estate.node(_WORKERS[1])
        target = estate.node(_WORKERS[0]).target
        for number in _CONNECTIONS:
            await self._compare(path, entry.callers, target, _WARM_UP, number)
            before = estate.processes.cpu_seconds(estate.node_names)
            full, direct = await self._compare(
                path, entry.callers, target, _CALLS, number
            )
            spent = estate.processes.cpu_seconds(estate.node_names) - before
            self.report[f'connections_{number}'] = _figures(full, direct, spent)
        self.report['node_resident_mib'] = estate.processes.resident_mib(
            estate.node_names
        )

    async def _compare(
        self,
        path: str,
        entry: Address,
        target: Address,
        calls: int,
        connections: int,
    ) -> tuple[list[float], list[float]]:
        full: list[float] = []
        direct: list[float] = []

        async def work() -> None:  # noqa: WPS430 - one task a connection
            through = HttpClient(address=entry)
            straight = HttpClient(address=target)
            for _ in range(calls // connections):
                full.append(await self._time(through, path))
                direct.append(await self._time(straight, path))

        async with anyio.create_task_group() as tasks:
            for _ in range(connections):
                tasks.start_soon(work)
        return full, direct

    async def _time(self, client: HttpClient, path: str) -> float:
        started = self._clock.now()
        await client.send('GET', path)
        return self._clock.now() - started


def _figures(
    full: list[float], direct: list[float], node_seconds: float
) -> dict[str, float]:
    figures = {}
    for name, share in (('p50', _P50), ('p99', _P99)):
        through = percentile(full, share)
        straight = percentile(direct, share)
        figures[f'full_{name}_ms'] = through
        figures[f'direct_{name}_ms'] = straight
        figures[f'added_{name}_ms'] = round(through - straight, 3)
    # Both nodes on the path count.
    figures['calls_per_second_per_core'] = round(
        len(full) / max(node_seconds, 1 / MS_PER_SECOND), 1
    )
    return figures


def _small() -> Deployment:
    """Return Tabua with lookups that take the target no time."""
    return deployment_of('tabua').with_mean(_ROUTE, 0)
