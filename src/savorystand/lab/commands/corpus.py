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
    help='Directory of the malformed messages.',
)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--count',
    type=click.IntRange(0),
    default=MUTATION_COUNT,
    show_default=True,
    help='Number of mutations of valid messages.',
)
@click.option('--json', 'output', type=click.File('w'), default='-')
def corpus(directory: Path, seed: int, count: int, output: TextIO) -> None:
    """Test the decoders and one node with malformed messages.

    The exit code is 1 if a decoder or the node crashed.
    """
    try:
        cases = load_cases(directory)
    except CorpusError as exc:
        raise click.ClickException(str(exc)) from exc
    corpus_run = CorpusRun(cases=cases, seed=seed, count=count)
    run_stoppable(corpus_run.run)
    json.dump(corpus_run.report, output, indent=2)
    output.write('\n')
    if corpus_run.report['crashed']:
        sys.exit(1)
