"""Two editors change the tables while responses of the store are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.experiments.editors import EditorRun
from savorystand.lab.experiments.experiment import Experiment
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import parse_goal
from savorystand.lab.experiments.experiment import unchanged

if TYPE_CHECKING:
    from savorystand.lab.experiments.session import Session

_CHANGE_COUNT = 200
_LOST_RESPONSE_FRACTION = 0.1


async def _measure(session: Session) -> Measurement:
    run = EditorRun(
        cluster=session.cluster,
        changes=_CHANGE_COUNT,
        lost_share=_LOST_RESPONSE_FRACTION,
        seed=session.seed,
    )
    return Measurement(figures=await run.measure())


EXPERIMENT = Experiment(
    name='config',
    prepare=unchanged,
    measure=_measure,
    goals=(
        parse_goal('reverted <= 0'),
        parse_goal('lost <= 0'),
        parse_goal('worst_in_force_ms <= 8000'),
    ),
)
