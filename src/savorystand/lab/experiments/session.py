"""Sends load to a cluster on behalf of an experiment."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import anyio

from savorystand.lab.callers.curves import Steady
from savorystand.lab.callers.driver import START_LEAD_MS
from savorystand.lab.callers.driver import run_callers
from savorystand.lab.callers.plan import Plan
from savorystand.lab.callers.plan import Stream
from savorystand.lab.targets.journal import duplicates

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.callers.curves import Curve
    from savorystand.lab.deployments.cluster import Cluster
    from savorystand.settings.node import Address

Script: TypeAlias = Callable[['RunTime'], Coroutine[Any, Any, None]]

_DEADLINE_MS = 3000


class RunTime:
    """Time since the start of the arrivals, for the scripts of faults."""

    __slots__ = ('_cluster', 'start_ms')

    def __init__(self, *, cluster: Cluster, start_ms: float) -> None:
        """Count from ``start_ms`` of the monotonic clock."""
        self._cluster = cluster
        self.start_ms = start_ms

    def now(self) -> float:
        """Return milliseconds since the start."""
        return self._cluster.clock.now() - self.start_ms

    async def until(self, at_ms: float) -> None:
        """Wait until a time of the run."""
        await self._cluster.clock.sleep(max(0, at_ms - self.now()))


class Session:
    """A cluster with load on it."""

    __slots__ = ('_directory', 'cluster', 'seed')

    def __init__(self, *, cluster: Cluster, directory: Path, seed: int) -> None:
        """Keep plans and records in ``directory``."""
        self.cluster = cluster
        self.seed = seed
        self._directory = directory

    def stream(  # noqa: WPS211 - each is one optional trait of a stream
        self,
        route_name: str,
        rate: float,
        *,
        curve: Curve | None = None,
        deadline_ms: int = _DEADLINE_MS,
        body_bytes: int = 0,
        own_keys: float = 0,
    ) -> Stream:
        """Return requests for a route of the deployment."""
        route = self.cluster.deployment.route(route_name)
        return Stream(
            name=route.name,
            method=route.method,
            path=route.path,
            rate=rate,
            keyed=not route.idempotent,
            body_bytes=body_bytes,
            deadline_ms=deadline_ms,
            own_keys=own_keys,
            curve=curve or Steady(),
        )

    async def send(
        self,
        *streams: Stream,
        duration_ms: float,
        hard: bool = False,
        script: Script | None = None,
        entries: tuple[Address, ...] = (),
    ) -> list[Record]:
        """Send the streams while ``script`` injects faults.

        Raises:
            CallersError: a caller process failed.
        """
        start_ms = self.cluster.clock.now() + START_LEAD_MS
        plan = Plan(
            streams=streams,
            entries=entries or self.cluster.entries,
            seed=self.seed,
            start_ms=start_ms,
            duration_ms=duration_ms,
            latency_ms=self.cluster.deployment.client_ms,
            hard=hard,
            max_retries=3 if hard else 2,
        )
        async with anyio.create_task_group() as tasks:
            if script is not None:
                run_time = RunTime(cluster=self.cluster, start_ms=start_ms)
                tasks.start_soon(script, run_time)
            records = await run_callers(plan, self._directory)
        return records

    async def duplicates(self) -> int:
        """Return the duplicate executions of non-idempotent routes."""
        matches = self.cluster.deployment.keyed_matches()
        return duplicates(await self.cluster.targets.counts(), matches)

    async def executions_per_request(self, *route_names: str) -> float:
        """Return executions by operations that reached any of the routes."""
        counts = await self.cluster.targets.counts()
        numbers: list[int] = []
        for name in route_names:
            match = self.cluster.deployment.route(name).match
            numbers.extend(counts.get(match, {}).values())
        return round(sum(numbers) / max(1, len(numbers)), 4)
