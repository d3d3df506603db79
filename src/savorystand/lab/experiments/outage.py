"""The store is down for the whole run and one node is replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import of_streams
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import RunTime
    from savorystand.lab.experiments.session import Session

_LOOKUPS = 30
_CONFIRMS = 15
_OWN_KEYS = 0.5
_REPLACE_MS = 5000
_DURATION_MS = 14000


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    replaced = cluster.node(f'{roles.front}-1')

    async def fail(run_time: RunTime) -> None:  # noqa: WPS430
        cluster.processes.kill('platform')
        await run_time.until(_REPLACE_MS)
        cluster.processes.kill(replaced.name)
        cluster.start_node(replaced)

    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS),
        session.stream(roles.confirm, _CONFIRMS, own_keys=_OWN_KEYS),
        duration_ms=_DURATION_MS,
        script=fail,
    )
    confirms = of_streams(records, roles.confirm)
    own = [record for record in confirms if record.own_key]
    issued = [record for record in confirms if not record.own_key]
    lookups = of_streams(records, roles.lookup)
    return Measurement(
        figures={
            'idempotent_whole_share': whole_share(lookups),
            'non_idempotent_served_share': whole_share(confirms),
            'issued_key_served_share': whole_share(issued),
            'own_key_served_share': whole_share(own),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


EXPERIMENT = Experiment(
    name='outage',
    prepare=unchanged,
    measure=_measure,
    goals=(
        goal('idempotent_whole_share >= 0.99'),
        goal('non_idempotent_served_share >= 0'),
        goal('duplicate_executions <= 0'),
    ),
)
