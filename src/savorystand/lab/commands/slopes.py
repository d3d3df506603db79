"""Command ``savorystand-lab slopes``."""

from __future__ import annotations

import json
from typing import TextIO

import click

from savorystand.lab.commands.running import run_stoppable
from savorystand.lab.slopes.suite import SlopeSuite


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--json', 'output', type=click.File('w'), default='-')
def slopes(seed: int, output: TextIO) -> None:
    """Measure costs at several sizes and project them to the target size.

    A run takes about 90 seconds.
    """
    suite = SlopeSuite(seed=seed)
    run_stoppable(suite.run)
    json.dump(suite.report, output, indent=2)
    output.write('\n')
