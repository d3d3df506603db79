"""Demand swings between 0.3 and 2.5 times capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.curves import Square
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.figures import finished_rate
from savorystand.lab.experiments.figures import of_streams
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.callers.plan import Stream
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import Session

# The full deepest pool would need thousands of calls a second.
_SLOTS_DIVISOR = 6
_LOW = 0.3
_HIGH = 2.5
_HALF_MS = 2000
_CURVE = Square(low=_LOW, high=_HIGH, half_ms=_HALF_MS)
_DURATION_MS = 16000
# The slots fill and the first answers of a crest return within this time.
_FILL_MS = 200
_DEADLINE_MS = 1500
_REFUNDS = 0.3
_PRICES = 0.4
_BATCHES = 0.3


def _prepare(deployment: Deployment) -> Deployment:
    pool = deployment.pool(deployment.roles.deepest)
    return deployment.with_slots(pool.name, pool.slots // _SLOTS_DIVISOR)


async def _measure(session: Session) -> Measurement:
    deployment = session.cluster.deployment
    roles = deployment.roles
    capacity = deployment.capacity(roles.price)
    streams = _streams(session, capacity)
    records = await session.send(*streams, duration_ms=_DURATION_MS)
    goodput = _crest_goodput(records)
    refunds = of_streams(records, roles.refund)
    return Measurement(
        figures={
            'capacity_per_second': capacity,
            'crest_goodput_per_second': goodput,
            'crest_goodput_share': round(goodput / capacity, 4),
            'critical_whole_share': whole_share(refunds),
            'duplicate_executions': await session.duplicates(),
        },
        records=tuple(records),
    )


def _streams(session: Session, capacity: float) -> list[Stream]:
    roles = session.cluster.deployment.roles
    shares = (
        (roles.refund, _REFUNDS),
        (roles.price, _PRICES),
        (roles.batch, _BATCHES),
    )
    return [
        session.stream(
            name, capacity * share, curve=_CURVE, deadline_ms=_DEADLINE_MS
        )
        for name, share in shares
    ]


def _crest_goodput(records: list[Record]) -> float:
    # By the time of the answer: requests of a crest that are served in the
    # trough after it do not count.
    crests = range(_HALF_MS, _DURATION_MS, 2 * _HALF_MS)
    rates = [
        finished_rate(records, start + _FILL_MS, start + _HALF_MS)
        for start in crests
    ]
    return sum(rates) / len(rates)


EXPERIMENT = Experiment(
    name='crest',
    prepare=_prepare,
    measure=_measure,
    goals=(
        goal('crest_goodput_share >= 0.95'),
        goal('critical_whole_share >= 0.999'),
    ),
)
