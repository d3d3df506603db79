"""Uploads fifty times longer than lookups fill a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Figures
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.figures import of_streams
from savorystand.lab.experiments.figures import p99_whole
from savorystand.lab.experiments.figures import whole_share

if TYPE_CHECKING:
    from savorystand.lab.callers.accounting import Record
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.session import Session

_LOOKUPS = 60
_LOOKUP_DEADLINE_MS = 2000
_UPLOAD_DEADLINE_MS = 6000
_UPLOAD_BYTES = 100000
# A pool of its full size would need hundreds of uploads a second to fill.
_SLOTS_DIVISOR = 15
_OVERLOAD = 1.2
_ALONE_MS = 6000
_MIXED_MS = 8000


def _prepare(deployment: Deployment) -> Deployment:
    pool = deployment.pool(deployment.roles.uploads)
    return deployment.with_slots(pool.name, pool.slots // _SLOTS_DIVISOR)


async def _measure(session: Session) -> Measurement:
    deployment = session.cluster.deployment
    roles = deployment.roles
    lookups = session.stream(
        roles.short, _LOOKUPS, deadline_ms=_LOOKUP_DEADLINE_MS
    )
    uploads = session.stream(
        roles.upload,
        deployment.capacity(roles.upload) * _OVERLOAD,
        deadline_ms=_UPLOAD_DEADLINE_MS,
        body_bytes=_UPLOAD_BYTES,
    )
    alone = await session.send(lookups, duration_ms=_ALONE_MS)
    mixed = await session.send(lookups, uploads, duration_ms=_MIXED_MS)
    short = of_streams(mixed, roles.short)
    long = of_streams(mixed, roles.upload)
    figures = _p99s(alone, short)
    return Measurement(
        figures={
            **figures,
            'lookup_whole_share': whole_share(short),
            'upload_whole_share': whole_share(long),
            'uploads_completed': sum(record.whole for record in long),
        },
        records=tuple(mixed),
    )


def _p99s(alone: list[Record], mixed: list[Record]) -> Figures:
    before = p99_whole(alone)
    during = p99_whole(mixed)
    return {
        'lookup_p99_alone_ms': before,
        'lookup_p99_mixed_ms': during,
        'lookup_p99_ratio': round(during / max(1, before), 3),
    }


EXPERIMENT = Experiment(
    name='uploads',
    prepare=_prepare,
    measure=_measure,
    goals=(
        goal('lookup_p99_ratio <= 1.5'),
        # The ratio counts whole answers only, so lookups must not be refused.
        goal('lookup_whole_share >= 0.99'),
        goal('uploads_completed >= 1'),
    ),
)
