"""Command ``savorystand-lab corpus``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TextIO

import click

from savorystand.lab.commands.running import run_stoppable
from savorystand.lab.corpus.cases import CorpusError
from savorystand.lab.corpus.cases import load_cases
from savorystand.lab.corpus.run import MUTATION_COUNT
from savorystand.lab.corpus.run import CorpusRun


@click.command()
@click.option(
    '--directory',
    type=click.Path(path_type=Path, file_okay=False),
    default=Path('tests/corpus'),
    show_default=True,
    help='The malformed messages.',
)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--count',
    type=click.IntRange(0),
    default=MUTATION_COUNT,
    show_default=True,
    help='Mutations of valid messages.',
)
@click.option('--json', 'output', type=click.File('w'), default='-')
def corpus(directory: Path, seed: int, count: int, output: TextIO) -> None:
    """Try malformed messages on the decoders and on one node.

    Exits with 1 if anything crashed.
    """
    try:
        cases = load_cases(directory)
    except CorpusError as exc:
        raise click.ClickException(str(exc)) from exc
    trial = CorpusRun(cases=cases, seed=seed, count=count)
    run_stoppable(trial.run)
    json.dump(trial.report, output, indent=2)
    output.write('\n')
    if trial.report['crashed']:
        sys.exit(1)
