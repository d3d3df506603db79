"""One in six targets is slowed tenfold and its load report is late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import p99_whole
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import RunTime
    from savorystand.lab.experiments.session import Session

_LOOKUPS = 150
_NORMAL_MS = 7000
_SLOWED_MS = 9000
_SLOW_FACTOR = 10
_LAG_MS = 5000


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    lookups = session.stream(roles.short, _LOOKUPS)

    async def slow_down(run_time: RunTime) -> None:  # noqa: WPS430
        await cluster.targets.set_condition(
            roles.uploads, [0], report_lag_ms=_LAG_MS
        )
        await run_time.until(0)
        await cluster.targets.set_condition(
            roles.uploads, [0], slow=_SLOW_FACTOR, for_ms=2 * _SLOWED_MS
        )

    normal = await session.send(lookups, duration_ms=_NORMAL_MS)
    await cluster.targets.reset_counts()
    slowed = await session.send(
        lookups, duration_ms=_SLOWED_MS, script=slow_down
    )
    executions = await session.executions_per_request(roles.short)
    before = p99_whole(normal)
    during = p99_whole(slowed)
    return Measurement(
        figures={
            'p99_normal_ms': before,
            'p99_slowed_ms': during,
            'p99_ratio': round(during / max(1, before), 3),
            'whole_share': whole_share(slowed),
            'extra_work': round(executions - 1, 4),
        },
        records=tuple(slowed),
    )


EXPERIMENT = Experiment(
    name='slowed',
    prepare=unchanged,
    measure=_measure,
    goals=(
        goal('p99_ratio <= 1.5'),
        goal('extra_work <= 0.05'),
    ),
)
