"""The platform's store is down for the entire run; one node is replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import stream_records
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import RunClock
    from savorystand.lab.experiments.session import Session

_LOOKUPS_PER_SECOND = 30
_CONFIRMS_PER_SECOND = 15
_OWN_KEY_FRACTION = 0.5
_REPLACEMENT_MS = 5000
_DURATION_MS = 14000


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    replaced = cluster.node(f'{roles.front}-1')

    async def inject_faults(run_clock: RunClock) -> None:  # noqa: WPS430
        cluster.processes.kill('platform')
        await run_clock.sleep_until(_REPLACEMENT_MS)
        cluster.processes.kill(replaced.name)
        cluster.start_node(replaced)

    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS_PER_SECOND),
        session.stream(
            roles.confirm, _CONFIRMS_PER_SECOND, own_keys=_OWN_KEY_FRACTION
        ),
        duration_ms=_DURATION_MS,
        script=inject_faults,
    )
    confirms = stream_records(records, roles.confirm)
    own_key_records = [record for record in confirms if record.own_key]
    issued_key_records = [record for record in confirms if not record.own_key]
    lookups = stream_records(records, roles.lookup)
    return Measurement(
        figures={
            'idempotent_whole_share': whole_share(lookups),
            'non_idempotent_served_share': whole_share(confirms),
            'issued_key_served_share': whole_share(issued_key_records),
            'own_key_served_share': whole_share(own_key_records),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


EXPERIMENT = Experiment(
    name='outage',
    prepare=unchanged,
    measure=_measure,
    goals=(
        parse_goal('idempotent_whole_share >= 0.99'),
        parse_goal('non_idempotent_served_share >= 0'),
        parse_goal('duplicate_executions <= 0'),
    ),
)
