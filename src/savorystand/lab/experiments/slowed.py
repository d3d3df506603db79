"""One of six targets is ten times slower and reports its load late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import p99_latency_ms
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import RunClock
    from savorystand.lab.experiments.session import Session

_LOOKUPS_PER_SECOND = 150
_NORMAL_DURATION_MS = 7000
_SLOWED_DURATION_MS = 9000
_SLOW_FACTOR = 10
_REPORT_LAG_MS = 5000


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    lookups = session.stream(roles.short, _LOOKUPS_PER_SECOND)

    async def slow_down(run_clock: RunClock) -> None:  # noqa: WPS430
        await cluster.targets.set_condition(
            roles.uploads, [0], report_lag_ms=_REPORT_LAG_MS
        )
        await run_clock.sleep_until(0)
        await cluster.targets.set_condition(
            roles.uploads,
            [0],
            slow=_SLOW_FACTOR,
            for_ms=2 * _SLOWED_DURATION_MS,
        )

    normal = await session.send(lookups, duration_ms=_NORMAL_DURATION_MS)
    await cluster.targets.reset_counts()
    slowed = await session.send(
        lookups, duration_ms=_SLOWED_DURATION_MS, script=slow_down
    )
    executions = await session.executions_per_request(roles.short)
    normal_ms = p99_latency_ms(normal)
    slowed_ms = p99_latency_ms(slowed)
    return Measurement(
        figures={
            'p99_normal_ms': normal_ms,
            'p99_slowed_ms': slowed_ms,
            'p99_ratio': round(slowed_ms / max(1, normal_ms), 3),
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
        parse_goal('p99_ratio <= 1.5'),
        parse_goal('extra_work <= 0.05'),
    ),
)
