"""Load on a cluster while an experiment injects faults."""

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

FaultScript: TypeAlias = Callable[['RunClock'], Coroutine[Any, Any, None]]

_DEFAULT_DEADLINE_MS = 3000


class RunClock:
    """Clock of a fault script, which counts from the first arrivals."""

    __slots__ = ('_cluster', 'start_ms')

    def __init__(self, *, cluster: Cluster, start_ms: float) -> None:
        """Count from ``start_ms``, a time of the cluster's monotonic clock."""
        self._cluster = cluster
        self.start_ms = start_ms

    def now(self) -> float:
        """Return the time since the start in ms."""
        return self._cluster.clock.now() - self.start_ms

    async def sleep_until(self, at_ms: float) -> None:
        """Sleep until ``at_ms`` after the start; return at once if it is past."""
        await self._cluster.clock.sleep(max(0, at_ms - self.now()))


class Session:
    """Sends request streams to a cluster and reads its execution counts."""

    __slots__ = ('_directory', 'cluster', 'seed')

    def __init__(self, *, cluster: Cluster, directory: Path, seed: int) -> None:
        """Write plans and records of the callers to ``directory``."""
        self.cluster = cluster
        self.seed = seed
        self._directory = directory

    def stream(  # noqa: WPS211 - each sets one optional property of a stream
        self,
        route_name: str,
        rate: float,
        *,
        curve: Curve | None = None,
        deadline_ms: int = _DEFAULT_DEADLINE_MS,
        body_bytes: int = 0,
        own_keys: float = 0,
    ) -> Stream:
        """Return a stream of ``rate`` requests per second to a route.

        ``own_keys`` is the fraction of requests under a key of the caller.
        """
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
        script: FaultScript | None = None,
        entries: tuple[Address, ...] = (),
    ) -> list[Record]:
        """Send the streams while ``script`` runs, and return all records.

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
                run_clock = RunClock(cluster=self.cluster, start_ms=start_ms)
                tasks.start_soon(script, run_clock)
            records = await run_callers(plan, self._directory)
        return records

    async def duplicates(self) -> int:
        """Return the number of duplicate executions on non-idempotent routes."""
        matches = self.cluster.deployment.keyed_matches()
        return duplicates(await self.cluster.targets.counts(), matches)

    async def executions_per_request(self, *route_names: str) -> float:
        """Return the mean executions per operation that reached a target.

        Only operations on the named routes count.
        """
        counts = await self.cluster.targets.counts()
        execution_counts: list[int] = []
        for name in route_names:
            match = self.cluster.deployment.route(name).match
            execution_counts.extend(counts.get(match, {}).values())
        return round(sum(execution_counts) / max(1, len(execution_counts)), 4)
