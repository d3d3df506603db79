"""Uploads that take 50 times as long as lookups overload a shared pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Figures
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.figures import p99_latency_ms
from savorystand.lab.experiments.figures import stream_records
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import Session

_LOOKUPS_PER_SECOND = 60
_LOOKUP_DEADLINE_MS = 2000
_UPLOAD_DEADLINE_MS = 6000
_UPLOAD_BYTES = 100000
# At its full size the pool would need hundreds of uploads per second to fill.
_SLOTS_DIVISOR = 15
_OVERLOAD_FACTOR = 1.2
_ALONE_DURATION_MS = 6000
_MIXED_DURATION_MS = 8000


def _prepare(deployment: Deployment) -> Deployment:
    pool = deployment.pool(deployment.roles.uploads)
    return deployment.with_slots(pool.name, pool.slots // _SLOTS_DIVISOR)


async def _measure(session: Session) -> Measurement:
    deployment = session.cluster.deployment
    roles = deployment.roles
    lookups = session.stream(
        roles.short, _LOOKUPS_PER_SECOND, deadline_ms=_LOOKUP_DEADLINE_MS
    )
    uploads = session.stream(
        roles.upload,
        deployment.capacity(roles.upload) * _OVERLOAD_FACTOR,
        deadline_ms=_UPLOAD_DEADLINE_MS,
        body_bytes=_UPLOAD_BYTES,
    )
    alone = await session.send(lookups, duration_ms=_ALONE_DURATION_MS)
    mixed = await session.send(lookups, uploads, duration_ms=_MIXED_DURATION_MS)
    lookup_records = stream_records(mixed, roles.short)
    upload_records = stream_records(mixed, roles.upload)
    figures = _lookup_figures(alone, lookup_records)
    return Measurement(
        figures={
            **figures,
            'lookup_whole_share': whole_share(lookup_records),
            'upload_whole_share': whole_share(upload_records),
            'uploads_completed': sum(record.whole for record in upload_records),
        },
        records=tuple(mixed),
    )


def _lookup_figures(alone: list[Record], mixed: list[Record]) -> Figures:
    alone_ms = p99_latency_ms(alone)
    mixed_ms = p99_latency_ms(mixed)
    return {
        'lookup_p99_alone_ms': alone_ms,
        'lookup_p99_mixed_ms': mixed_ms,
        'lookup_p99_ratio': round(mixed_ms / max(1, alone_ms), 3),
    }


EXPERIMENT = Experiment(
    name='uploads',
    prepare=_prepare,
    measure=_measure,
    goals=(
        parse_goal('lookup_p99_ratio <= 1.5'),
        # The ratio covers complete responses only and would miss refused lookups.
        parse_goal('lookup_whole_share >= 0.99'),
        parse_goal('uploads_completed >= 1'),
    ),
)
