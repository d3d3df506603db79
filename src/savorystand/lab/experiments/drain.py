"""Targets and nodes leave and return one after the other under load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.accounting import MAY_HAVE_RUN
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import verdicts
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.deployments.cluster import Cluster
    from savorystand.lab.experiments.session import RunTime
    from savorystand.lab.experiments.session import Session

_LOOKUPS = 35
_CONFIRMS = 15
_SHORTS = 20
_UPLOADS = 5
_UPLOAD_BYTES = 100000
_FIRST_MS = 1000
_LAST_MS = 15000
_DURATION_MS = 18000
_LEAVE_MS = 3000
_STOP_SECONDS = 8


class _Rounds:
    """Takes one target and its node after the other out and back."""

    __slots__ = ('_cluster', 'killed', 'late_starts', 'rounds')

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self.rounds = 0
        self.killed = 0
        self.late_starts = 0

    async def run(self, run_time: RunTime) -> None:
        await run_time.until(_FIRST_MS)
        pools = self._cluster.deployment.pools
        for worker, pool in enumerate(pools):
            if run_time.now() > _LAST_MS:
                return
            await self._replace(f'{pool.name}-{worker}')

    async def _replace(self, name: str) -> None:
        node = self._cluster.node(name)
        leave_ms = self._cluster.clock.now()
        await self._cluster.targets.set_condition(
            node.pool, [node.worker], serving=False
        )
        ended = await self._cluster.processes.stop(name, _STOP_SECONDS)
        starts = await self._cluster.targets.last_starts()
        self.late_starts += starts.get(name, 0) > leave_ms + _LEAVE_MS
        self.killed += not ended
        self.rounds += 1
        self._cluster.start_node(node)
        await self._cluster.targets.set_condition(
            node.pool, [node.worker], serving=True
        )


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    rounds = _Rounds(cluster=cluster)
    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS),
        session.stream(roles.confirm, _CONFIRMS),
        session.stream(roles.short, _SHORTS),
        session.stream(
            roles.upload,
            _UPLOADS,
            deadline_ms=_DURATION_MS,
            body_bytes=_UPLOAD_BYTES,
        ),
        duration_ms=_DURATION_MS,
        script=rounds.run,
    )
    counts = verdicts(records)
    cut = sum(
        number
        for verdict, number in counts.items()
        if verdict.startswith(MAY_HAVE_RUN)
    )
    return Measurement(
        figures={
            'rounds': rounds.rounds,
            'cut_requests': cut,
            'late_starts': rounds.late_starts,
            'killed_nodes': rounds.killed,
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
        goal('cut_requests <= 0'),
        goal('late_starts <= 0'),
        goal('killed_nodes <= 0'),
    ),
)
