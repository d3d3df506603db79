"""Two editors change the tables while answers of the store are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.editors import EditorRun
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import goal
from savorystand.lab.experiments.experiment import unchanged

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import Session

_CHANGES = 200
_LOST_SHARE = 0.1


async def _measure(session: Session) -> Measurement:
    run = EditorRun(
        cluster=session.cluster,
        changes=_CHANGES,
        lost_share=_LOST_SHARE,
        seed=session.seed,
    )
    return Measurement(figures=await run.measure())


EXPERIMENT = Experiment(
    name='config',
    prepare=unchanged,
    measure=_measure,
    goals=(
        goal('reverted <= 0'),
        goal('lost <= 0'),
        goal('worst_in_force_ms <= 8000'),
    ),
)
