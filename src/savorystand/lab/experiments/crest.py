"""Demand alternates between 0.3 and 2.5 times the capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.callers.curves import Square
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.figures import goodput_per_second
from savorystand.lab.experiments.figures import stream_records
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.callers.plan import Stream
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import Session

# At its full size the deepest pool would need thousands of calls per second
# to be overloaded.
_SLOTS_DIVISOR = 6
_LOW_FACTOR = 0.3
_HIGH_FACTOR = 2.5
_HALF_PERIOD_MS = 2000
_CURVE = Square(low=_LOW_FACTOR, high=_HIGH_FACTOR, half_ms=_HALF_PERIOD_MS)
_DURATION_MS = 16000
# Time in which the slots fill and the first responses of a crest return.
_FILL_DELAY_MS = 200
_DEADLINE_MS = 1500
_REFUND_FRACTION = 0.3
_PRICE_FRACTION = 0.4
_BATCH_FRACTION = 0.3


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
    refunds = stream_records(records, roles.refund)
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
        (roles.refund, _REFUND_FRACTION),
        (roles.price, _PRICE_FRACTION),
        (roles.batch, _BATCH_FRACTION),
    )
    return [
        session.stream(
            name, capacity * share, curve=_CURVE, deadline_ms=_DEADLINE_MS
        )
        for name, share in shares
    ]


def _crest_goodput(records: list[Record]) -> float:
    # Counts by the time of the response, so that requests of a crest that are
    # served in the trough after it do not count.
    crest_starts_ms = range(_HALF_PERIOD_MS, _DURATION_MS, 2 * _HALF_PERIOD_MS)
    rates = [
        goodput_per_second(
            records, start_ms + _FILL_DELAY_MS, start_ms + _HALF_PERIOD_MS
        )
        for start_ms in crest_starts_ms
    ]
    return sum(rates) / len(rates)


EXPERIMENT = Experiment(
    name='crest',
    prepare=_prepare,
    measure=_measure,
    goals=(
        parse_goal('crest_goodput_share >= 0.95'),
        parse_goal('critical_whole_share >= 0.999'),
    ),
)
