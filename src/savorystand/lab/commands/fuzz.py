"""Command ``savorystand-lab fuzz``."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TextIO

import click

from savorystand.lab.fuzz.runs import fuzz as fuzz_nodes

_STEPS = 2000


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--steps', type=int, default=_STEPS, show_default=True)
@click.option('--json', 'output', type=click.File('w'), default='-')
@click.pass_context
def fuzz(ctx: click.Context, seed: int, steps: int, output: TextIO) -> None:
    """Play random steps on whole nodes and check the promises.

    The exit code is 1 if one was broken; the report then holds the steps,
    reduced, with which it breaks.
    """
    findings = fuzz_nodes(seed, steps)
    json.dump(asdict(findings), output, indent=2)
    output.write('\n')
    if findings.violations:
        ctx.exit(1)
