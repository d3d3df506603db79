"""Command ``savorystand-lab targets``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import click

from savorystand.lab.commands.options import ADDRESS
from savorystand.lab.targets.description import load_targets
from savorystand.lab.targets.process import TargetProcess

if TYPE_CHECKING:
    from savorystand.settings.node import Address


@click.command()
@click.argument('description', type=click.Path(path_type=Path, exists=True))
@click.option('--control', type=ADDRESS, required=True)
def targets(description: Path, control: Address) -> None:
    """Run the stand-in targets of the JSON file DESCRIPTION in one process."""
    process = TargetProcess(descriptions=load_targets(description))
    # With uvloop, like the command ``node``, for TCP_NODELAY.
    anyio.run(process.run, control, backend_options={'use_uvloop': True})
