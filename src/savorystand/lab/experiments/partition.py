"""One region is cut off and comes back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.lab.deployments.places import region_prefixes
from savorystand.lab.deployments.probing import is_converged
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import between
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.cluster import Cluster
    from savorystand.lab.experiments.session import RunTime
    from savorystand.lab.experiments.session import Session

_LOOKUPS = 35
_CONFIRMS = 15
_CUT_MS = 3000
# A probe, its indirect probes and the suspicion take up to this long.
_DETECTED_MS = 8500
_HEAL_MS = 12000
_DURATION_MS = 18000
_CUT_REGION = 2
_POLL_SECONDS = 0.25
_UNCONVERGED_MS = 60000


class _Partition:
    """Cuts, heals and watches the views of all nodes converge."""

    __slots__ = ('_cluster', 'converged_ms')

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self.converged_ms: float = _UNCONVERGED_MS

    async def run(self, run_time: RunTime) -> None:
        await run_time.until(_CUT_MS)
        await self._cut()
        await run_time.until(_HEAL_MS)
        await self._cluster.set_fault(self._cluster.nodes, cut=[])
        healed_ms = run_time.now()
        while run_time.now() < _DURATION_MS:
            if await is_converged(self._cluster.entries):
                self.converged_ms = run_time.now() - healed_ms
                return
            await anyio.sleep(_POLL_SECONDS)

    async def _cut(self) -> None:
        nodes = self._cluster.nodes
        inside = [node for node in nodes if node.region == _CUT_REGION]
        outside = [node for node in nodes if node.region != _CUT_REGION]
        others = [
            prefix
            for region in range(_CUT_REGION)
            for prefix in region_prefixes(region)
        ]
        cut_off = region_prefixes(_CUT_REGION)
        await self._cluster.set_fault(inside, cut=others)
        await self._cluster.set_fault(outside, cut=cut_off)


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    partition = _Partition(cluster=cluster)
    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS),
        session.stream(roles.confirm, _CONFIRMS),
        duration_ms=_DURATION_MS,
        script=partition.run,
    )
    cut = between(records, _DETECTED_MS, _HEAL_MS)
    inside: list[Record] = []
    outside: list[Record] = []
    for record in cut:
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
        goal('cut_region_whole_share >= 0.95'),
        goal('rest_whole_share >= 0.95'),
        goal('converged_ms <= 5000'),
        goal('duplicate_executions <= 0'),
    ),
)
