"""Command ``savorystand-lab run``."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TextIO

import click

from savorystand.lab.commands.options import deployment_options
from savorystand.lab.commands.running import run_stoppable
from savorystand.lab.deployments.loading import load_deployment
from savorystand.lab.experiments.catalogue import EXPERIMENTS
from savorystand.lab.experiments.plot import plot_run
from savorystand.lab.experiments.run import ExperimentRun


@click.command()
@click.argument('name', type=click.Choice(sorted(EXPERIMENTS)))
@deployment_options
@click.option('--json', 'output', type=click.File('w'), default='-')
@click.option(
    '--plot',
    type=click.Path(path_type=Path),
    help='Write a plot to this PNG file.',
)
def run(
    name: str,
    deployment: str,
    seed: int,
    output: TextIO,
    plot: Path | None,
) -> None:
    """Run the experiment NAME and its baseline.

    The exit code is 0 if the run completed, even if it missed targets.
    """
    experiment_run = ExperimentRun(
        experiment=EXPERIMENTS[name],
        deployment=load_deployment(deployment),
        seed=seed,
    )
    run_stoppable(experiment_run.run)
    json.dump(experiment_run.report(), output, indent=2)
    output.write('\n')
    if plot is not None:
        plot_run(experiment_run, plot)
