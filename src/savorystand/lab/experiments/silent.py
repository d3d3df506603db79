"""A third of the open connections between nodes deliver nothing more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.accounting import percentile
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import RunClock
    from savorystand.lab.experiments.session import Session

_LOOKUPS_PER_SECOND = 35
_CONFIRMS_PER_SECOND = 15
_SILENCE_START_MS = 5000
_DURATION_MS = 14000
_SILENCED_FRACTION = 1 / 3
_DEADLINE_MS = 8000


async def _measure(session: Session) -> Measurement:
    cluster = session.cluster
    roles = cluster.deployment.roles
    silenced: list[int] = []

    async def silence(run_clock: RunClock) -> None:  # noqa: WPS430
        await run_clock.sleep_until(_SILENCE_START_MS)
        responses = await cluster.set_fault(
            cluster.nodes, silence=_SILENCED_FRACTION, seed=session.seed
        )
        silenced.extend(response['silenced'] for response in responses)

    records = await session.send(
        session.stream(
            roles.lookup, _LOOKUPS_PER_SECOND, deadline_ms=_DEADLINE_MS
        ),
        session.stream(
            roles.confirm, _CONFIRMS_PER_SECOND, deadline_ms=_DEADLINE_MS
        ),
        duration_ms=_DURATION_MS,
        script=silence,
    )
    median_ms = percentile([record.waited_ms for record in records], 0.5)
    longest_ms = max(record.waited_ms for record in records)
    return Measurement(
        figures={
            'silenced_connections': sum(silenced),
            'usual_wait_ms': median_ms,
            'longest_wait_ms': round(longest_ms, 1),
            # Difference between the longest and the median wait.
            'longest_extra_wait_ms': round(longest_ms - median_ms, 1),
            'whole_share': whole_share(records),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


EXPERIMENT = Experiment(
    name='silent',
    prepare=unchanged,
    measure=_measure,
    goals=(parse_goal('longest_extra_wait_ms <= 2000'),),
)
