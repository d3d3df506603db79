"""Run of an experiment with the nodes and with the baseline."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from savorystand.lab.deployments.cluster import Cluster
from savorystand.lab.experiments.experiment import Measurement
from savorystand.lab.experiments.experiment import evaluate_goal
from savorystand.lab.experiments.session import Session

if TYPE_CHECKING:
    from savorystand.lab.deployments.deployment import Deployment
    from savorystand.lab.experiments.experiment import Experiment

Report: TypeAlias = dict[str, Any]


class ExperimentRun:
    """Runs an experiment on a deployment, with one seed for all load."""

    __slots__ = ('_deployment', '_experiment', '_seed', 'baseline', 'measured')

    def __init__(
        self, *, experiment: Experiment, deployment: Deployment, seed: int
    ) -> None:
        """Prepare the deployment; ``run`` starts it and measures."""
        self._experiment = experiment
        self._deployment = experiment.prepare(deployment)
        self._seed = seed
        self.measured = Measurement(figures={})
        self.baseline = Measurement(figures={})

    async def run(self) -> None:
        """Measure the nodes and then the baseline, both with the same seed.

        Raises:
            ClusterError: a process failed.
            CallersError: a caller process failed.
        """
        self.measured = await self._measure(baseline=False)
        self.baseline = await self._measure(baseline=True)

    def report(self) -> Report:
        """Return the figures and evaluated goals as a JSON document."""
        figures = self.measured.figures
        targets = [
            evaluate_goal(goal, figures) for goal in self._experiment.goals
        ]
        return {
            'name': self._experiment.name,
            'deployment': self._deployment.name,
            'seed': self._seed,
            'figures': figures,
            'baseline': self.baseline.figures,
            'targets': targets,
            'met': all(target['met'] for target in targets),
        }

    async def _measure(self, *, baseline: bool) -> Measurement:
        with tempfile.TemporaryDirectory(prefix='savorystand-') as name:
            directory = Path(name)
            cluster = Cluster(
                deployment=self._deployment,
                directory=directory,
                seed=self._seed,
                baseline=baseline,
            )
            async with cluster:
                session = Session(
                    cluster=cluster, directory=directory, seed=self._seed
                )
                return await self._experiment.measure(session)
