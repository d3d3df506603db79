"""The deepest service slows tenfold while demand triples."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.curves import Surge
from savorystand.lab.deployments.deployment import WORKERS
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Figures
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import between
from savorystand.lab.experiments.figures import finished_rate
from savorystand.lab.experiments.figures import in_time_share
from savorystand.lab.experiments.figures import of_streams
from savorystand.lab.experiments.figures import recovery_ms
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import RunTime
    from savorystand.lab.experiments.session import Session

_START_MS = 4000
_STOP_MS = 14000
_END_MS = 20000
_SLOW_FACTOR = 10
_DEMAND_FACTOR = 3
_LOOKUPS = 35
_CONFIRMS = 15
_DEADLINE_MS = 3000
# The first answers of the slowed service take this long.
_SETTLED_MS = 5000
_NORMAL = 0.95


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    curve = Surge(start_ms=_START_MS, stop_ms=_STOP_MS, factor=_DEMAND_FACTOR)

    async def slow_down(run_time: RunTime) -> None:  # noqa: WPS430
        await run_time.until(_START_MS)
        await cluster.targets.set_condition(
            roles.deepest,
            list(range(WORKERS)),
            slow=_SLOW_FACTOR,
            for_ms=_STOP_MS - _START_MS,
        )

    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS, curve=curve),
        session.stream(roles.confirm, _CONFIRMS, curve=curve),
        duration_ms=_END_MS,
        hard=True,
        script=slow_down,
    )
    figures = _figures(records, cluster.deployment)
    deep = cluster.deployment.route_names(roles.deepest)
    executions = await session.executions_per_request(*deep)
    figures['executions_per_request'] = executions
    figures['duplicate_executions'] = await session.duplicates()
    return Measurement(figures=figures, records=tuple(records))


def _figures(records: list[Record], deployment: Deployment) -> Figures:
    roles = deployment.roles
    surge = between(records, _START_MS, _STOP_MS)
    normal = whole_share(between(records, 0, _START_MS))
    slowed = deployment.capacity(roles.price) / _SLOW_FACTOR
    goodput = finished_rate(records, _SETTLED_MS, _STOP_MS)
    critical = of_streams(surge, roles.confirm)
    return {
        'normal_whole_share': normal,
        'critical_whole_share': in_time_share(critical, _DEADLINE_MS),
        'goodput_per_second': goodput,
        'goodput_share_of_slowed_capacity': round(goodput / slowed, 4),
        'recovery_ms': recovery_ms(
            records,
            from_ms=_STOP_MS,
            until_ms=_END_MS,
            wanted=_NORMAL * normal,
        ),
    }


EXPERIMENT = Experiment(
    name='surge',
    prepare=unchanged,
    measure=_measure,
    goals=(
        goal('critical_whole_share >= 0.99'),
        goal('goodput_share_of_slowed_capacity >= 0.9'),
        goal('recovery_ms <= 3000'),
        goal('executions_per_request <= 1.2'),
    ),
)
