"""Command ``savorystand-lab overhead``."""

from __future__ import annotations

import json
from typing import TextIO

import click

from savorystand.lab.commands.running import run_stoppable
from savorystand.lab.experiments.overhead import Overhead


@click.command()
@click.option('--json', 'output', type=click.File('w'), default='-')
def overhead(output: TextIO) -> None:
    """Measure the overhead of two nodes on a call, against direct calls."""
    measurement = Overhead()
    run_stoppable(measurement.run)
    json.dump(measurement.report, output, indent=2)
    output.write('\n')
