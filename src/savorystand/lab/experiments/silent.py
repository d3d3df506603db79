"""A third of the open connections between nodes go silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.accounting import percentile
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import RunTime
    from savorystand.lab.experiments.session import Session

_LOOKUPS = 35
_CONFIRMS = 15
_SILENT_MS = 5000
_DURATION_MS = 14000
_SHARE = 1 / 3
_DEADLINE_MS = 8000


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    silenced: list[int] = []

    async def silence(run_time: RunTime) -> None:  # noqa: WPS430
        await run_time.until(_SILENT_MS)
        replies = await cluster.set_fault(
            cluster.nodes, silence=_SHARE, seed=session.seed
        )
        silenced.extend(reply['silenced'] for reply in replies)

    records = await session.send(
        session.stream(roles.lookup, _LOOKUPS, deadline_ms=_DEADLINE_MS),
        session.stream(roles.confirm, _CONFIRMS, deadline_ms=_DEADLINE_MS),
        duration_ms=_DURATION_MS,
        script=silence,
    )
    usual_ms = percentile([record.waited_ms for record in records], 0.5)
    longest_ms = max(record.waited_ms for record in records)
    return Measurement(
        figures={
            'silenced_connections': sum(silenced),
            'usual_wait_ms': usual_ms,
            'longest_wait_ms': round(longest_ms, 1),
            # What the longest wait exceeds the usual one by.
            'longest_extra_wait_ms': round(longest_ms - usual_ms, 1),
            'whole_share': whole_share(records),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


EXPERIMENT = Experiment(
    name='silent',
    prepare=unchanged,
    measure=_measure,
    goals=(goal('longest_extra_wait_ms <= 2000'),),
)
