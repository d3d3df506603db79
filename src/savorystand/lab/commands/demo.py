"""Command ``savorystand-lab demo``."""

from __future__ import annotations

import click

from savorystand.lab.commands.options import deployment_options
from savorystand.lab.commands.running import run_stoppable
from savorystand.lab.deployments.loading import load_deployment
from savorystand.lab.experiments.demo import Demo


@click.command()
@deployment_options
def demo(deployment: str, seed: int) -> None:
    """Run 24 nodes under load for 15 s and check the outcomes of callers."""
    demo_run = Demo(
        deployment=load_deployment(deployment),
        seed=seed,
        printer=click.echo,
    )
    run_stoppable(demo_run.run)
    if demo_run.failed:
        raise click.ClickException('at least one check failed')
