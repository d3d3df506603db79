"""Command ``savorystand-lab soak``."""

from __future__ import annotations

import json
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import TextIO

import click

from savorystand.lab.commands.running import run_stoppable
from savorystand.lab.soak.run import Soak

_SECONDS = 30
_NODES = 9
_MIN_NODES = 3
# A few hundred processes are what one machine bears.
_MAX_NODES = 200


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--seconds', type=float, default=_SECONDS, show_default=True)
@click.option(
    '--nodes', type=click.IntRange(_MIN_NODES, _MAX_NODES), default=_NODES
)
@click.option('--logs', type=click.Path(path_type=Path), default=None)
@click.option('--json', 'output', type=click.File('w'), default='-')
@click.pass_context
def soak(  # noqa: WPS211, WPS216 - one parameter for each option
    ctx: click.Context,
    seed: int,
    seconds: float,
    nodes: int,
    logs: Path | None,
    output: TextIO,
) -> None:
    """Run node processes under random faults and check their guarantees.

    Faults come for SECONDS; then the nodes have to recover. Logs of the nodes
    are kept only in the directory of --logs. The exit code is 1 if a
    guarantee was violated.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = logs or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        run = Soak(seed=seed, seconds=seconds, nodes=nodes, directory=directory)
        run_stoppable(run.run)
    json.dump(asdict(run.report), output, indent=2)
    output.write('\n')
    if run.report.violations:
        ctx.exit(1)
