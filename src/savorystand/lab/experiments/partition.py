"""One region is cut off from the others and reconnected."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.lab.deployments.places import region_prefixes
from savorystand.lab.deployments.probing import is_converged
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import intended_between
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.cluster import Cluster
    from savorystand.lab.experiments.session import RunClock
    from savorystand.lab.experiments.session import Session

_LOOKUPS_PER_SECOND = 35
_CONFIRMS_PER_SECOND = 15
_CUT_START_MS = 3000
# Shares count from here on: a probe, its indirect probes and the suspicion of
# a member may take until then.
_DETECTION_END_MS = 8500
_HEAL_MS = 12000
_DURATION_MS = 18000
_CUT_REGION = 2
_POLL_INTERVAL_SECONDS = 0.25
# Reported when membership has not converged by the end of the run.
_NOT_CONVERGED_MS = 60000


class _Partition:
    """Cuts a region off, heals the cut and times convergence.

    Membership has converged when every node lists all nodes as serving.
    """

    __slots__ = ('_cluster', 'converged_ms')

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self.converged_ms: float = _NOT_CONVERGED_MS

    async def run(self, run_clock: RunClock) -> None:
        await run_clock.sleep_until(_CUT_START_MS)
        await self._cut()
        await run_clock.sleep_until(_HEAL_MS)
        await self._cluster.set_fault(self._cluster.nodes, cut=[])
        healed_ms = run_clock.now()
        while run_clock.now() < _DURATION_MS:
            if await is_converged(self._cluster.entries):
                self.converged_ms = run_clock.now() - healed_ms
                return
            await anyio.sleep(_POLL_INTERVAL_SECONDS)

    async def _cut(self) -> None:
        nodes = self._cluster.nodes
        inside = [node for node in nodes if node.region == _CUT_REGION]
        outside = [node for node in nodes if node.region != _CUT_REGION]
        other_prefixes = [
            prefix
            for region in range(_CUT_REGION)
            for prefix in region_prefixes(region)
        ]
        cut_prefixes = region_prefixes(_CUT_REGION)
        await self._cluster.set_fault(inside, cut=other_prefixes)
        await self._cluster.set_fault(outside, cut=cut_prefixes)


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    partition = _Partition(cluster=cluster)
    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS_PER_SECOND),
        session.stream(roles.confirm, _CONFIRMS_PER_SECOND),
        duration_ms=_DURATION_MS,
        script=partition.run,
    )
    cut_records = intended_between(records, _DETECTION_END_MS, _HEAL_MS)
    inside: list[Record] = []
    outside: list[Record] = []
    for record in cut_records:
        region = cluster.nodes[record.entry].region
        (inside if region == _CUT_REGION else outside).append(record)
    return Measurement(
        figures={
            'cut_region_whole_share': whole_share(inside),
            'rest_whole_share': whole_share(outside),
            'converged_ms': round(partition.converged_ms),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


EXPERIMENT = Experiment(
    name='partition',
    prepare=unchanged,
    measure=_measure,
    goals=(
        parse_goal('cut_region_whole_share >= 0.95'),
        parse_goal('rest_whole_share >= 0.95'),
        parse_goal('converged_ms <= 5000'),
        parse_goal('duplicate_executions <= 0'),
    ),
)
