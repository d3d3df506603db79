"""Command ``savorystand-lab fuzz``."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TextIO

import click

from savorystand.lab.fuzz.runs import fuzz as fuzz_nodes

_DEFAULT_STEP_COUNT = 2000


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--steps', type=int, default=_DEFAULT_STEP_COUNT, show_default=True
)
@click.option('--json', 'output', type=click.File('w'), default='-')
@click.pass_context
def fuzz(ctx: click.Context, seed: int, steps: int, output: TextIO) -> None:
    """Run random steps on complete nodes and check their guarantees.

    The exit code is 1 if one was violated. The report then has a reduced
    list of steps that reproduces the violation.
    """
    findings = fuzz_nodes(seed, steps)
    json.dump(asdict(findings), output, indent=2)
    output.write('\n')
    if findings.violations:
        ctx.exit(1)
