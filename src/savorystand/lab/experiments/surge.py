"""The deepest service becomes ten times slower while demand triples."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.curves import Surge
from savorystand.lab.deployments.deployment import WORKERS
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Figures
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import goodput_per_second
from savorystand.lab.experiments.figures import intended_between
from savorystand.lab.experiments.figures import recovery_ms
from savorystand.lab.experiments.figures import stream_records
from savorystand.lab.experiments.figures import whole_share
from savorystand.lab.experiments.figures import within_deadline_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import RunClock
    from savorystand.lab.experiments.session import Session

_SURGE_START_MS = 4000
_SURGE_END_MS = 14000
_DURATION_MS = 20000
_SLOW_FACTOR = 10
_DEMAND_FACTOR = 3
_LOOKUPS_PER_SECOND = 35
_CONFIRMS_PER_SECOND = 15
_DEADLINE_MS = 3000
# Goodput counts from here on: the first responses of the slowed service take
# until then.
_GOODPUT_START_MS = 5000
# Share of complete responses, relative to the time before the surge, at which
# the service counts as recovered.
_RECOVERED_RATIO = 0.95


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    curve = Surge(
        start_ms=_SURGE_START_MS, stop_ms=_SURGE_END_MS, factor=_DEMAND_FACTOR
    )

    async def slow_down(run_clock: RunClock) -> None:  # noqa: WPS430
        await run_clock.sleep_until(_SURGE_START_MS)
        await cluster.targets.set_condition(
            roles.deepest,
            list(range(WORKERS)),
            slow=_SLOW_FACTOR,
            for_ms=_SURGE_END_MS - _SURGE_START_MS,
        )

    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS_PER_SECOND, curve=curve),
        session.stream(roles.confirm, _CONFIRMS_PER_SECOND, curve=curve),
        duration_ms=_DURATION_MS,
        hard=True,
        script=slow_down,
    )
    figures = _figures(records, cluster.deployment)
    deepest_routes = cluster.deployment.route_names(roles.deepest)
    executions = await session.executions_per_request(*deepest_routes)
    figures['executions_per_request'] = executions
    figures['duplicate_executions'] = await session.duplicates()
    return Measurement(figures=figures, records=tuple(records))


def _figures(records: list[Record], deployment: Deployment) -> Figures:
    roles = deployment.roles
    surge_records = intended_between(records, _SURGE_START_MS, _SURGE_END_MS)
    normal_share = whole_share(intended_between(records, 0, _SURGE_START_MS))
    slowed_capacity = deployment.capacity(roles.price) / _SLOW_FACTOR
    goodput = goodput_per_second(records, _GOODPUT_START_MS, _SURGE_END_MS)
    critical_records = stream_records(surge_records, roles.confirm)
    return {
        'normal_whole_share': normal_share,
        'critical_whole_share': within_deadline_share(
            critical_records, _DEADLINE_MS
        ),
        'goodput_per_second': goodput,
        'goodput_share_of_slowed_capacity': round(goodput / slowed_capacity, 4),
        'recovery_ms': recovery_ms(
            records,
            from_ms=_SURGE_END_MS,
            until_ms=_DURATION_MS,
            min_share=_RECOVERED_RATIO * normal_share,
        ),
    }


EXPERIMENT = Experiment(
    name='surge',
    prepare=unchanged,
    measure=_measure,
    goals=(
        parse_goal('critical_whole_share >= 0.99'),
        parse_goal('goodput_share_of_slowed_capacity >= 0.9'),
        parse_goal('recovery_ms <= 3000'),
        parse_goal('executions_per_request <= 1.2'),
    ),
)
