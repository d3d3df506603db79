"""Targets leave and return one by one as their nodes restart, under load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.accounting import MAY_HAVE_RUN
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import count_verdicts
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.deployments.cluster import Cluster
    from savorystand.lab.experiments.session import RunClock
    from savorystand.lab.experiments.session import Session

_LOOKUPS_PER_SECOND = 35
_CONFIRMS_PER_SECOND = 15
_SHORT_LOOKUPS_PER_SECOND = 20
_UPLOADS_PER_SECOND = 5
_UPLOAD_BYTES = 100000
_FIRST_ROUND_MS = 1000
_LAST_ROUND_MS = 15000
_DURATION_MS = 18000
_MAX_LEAVE_MS = 3000
_STOP_TIMEOUT_SECONDS = 8


class _RollingRestart:
    """Takes one target per pool out of service and restarts its node.

    The target returns to service after that; pools follow one by one.

    ``late_starts`` counts targets that started a call more than
    ``_MAX_LEAVE_MS`` after they began to leave.
    """

    __slots__ = ('_cluster', 'killed_nodes', 'late_starts', 'rounds')

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self.rounds = 0
        self.killed_nodes = 0
        self.late_starts = 0

    async def run(self, run_clock: RunClock) -> None:
        await run_clock.sleep_until(_FIRST_ROUND_MS)
        pools = self._cluster.deployment.pools
        for worker, pool in enumerate(pools):
            if run_clock.now() > _LAST_ROUND_MS:
                return
            await self._replace(f'{pool.name}-{worker}')

    async def _replace(self, name: str) -> None:
        node = self._cluster.node(name)
        leave_ms = self._cluster.clock.now()
        await self._cluster.targets.set_condition(
            node.pool, [node.worker], serving=False
        )
        stopped = await self._cluster.processes.stop(
            name, _STOP_TIMEOUT_SECONDS
        )
        starts = await self._cluster.targets.last_starts()
        self.late_starts += starts.get(name, 0) > leave_ms + _MAX_LEAVE_MS
        self.killed_nodes += not stopped
        self.rounds += 1
        self._cluster.start_node(node)
        await self._cluster.targets.set_condition(
            node.pool, [node.worker], serving=True
        )


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    restart = _RollingRestart(cluster=cluster)
    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS_PER_SECOND),
        session.stream(roles.confirm, _CONFIRMS_PER_SECOND),
        session.stream(roles.short, _SHORT_LOOKUPS_PER_SECOND),
        session.stream(
            roles.upload,
            _UPLOADS_PER_SECOND,
            deadline_ms=_DURATION_MS,
            body_bytes=_UPLOAD_BYTES,
        ),
        duration_ms=_DURATION_MS,
        script=restart.run,
    )
    counts = count_verdicts(records)
    cut_requests = sum(
        number
        for verdict, number in counts.items()
        if verdict.startswith(MAY_HAVE_RUN)
    )
    return Measurement(
        figures={
            'rounds': restart.rounds,
            'cut_requests': cut_requests,
            'late_starts': restart.late_starts,
            'killed_nodes': restart.killed_nodes,
            'whole_share': whole_share(records),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


EXPERIMENT = Experiment(
    name='drain',
    prepare=unchanged,
    measure=_measure,
    goals=(
        parse_goal('cut_requests <= 0'),
        parse_goal('late_starts <= 0'),
        parse_goal('killed_nodes <= 0'),
    ),
)
