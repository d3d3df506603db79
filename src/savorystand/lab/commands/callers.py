"""Command ``savorystand-lab callers``."""

from __future__ import annotations

from pathlib import Path

import anyio
import click

from savorystand.clock import Clock
from savorystand.lab.callers.caller import Callers
from savorystand.lab.callers.driver import write_records
from savorystand.lab.callers.plan import load_plan


@click.command()
@click.argument('plan', type=click.Path(path_type=Path, exists=True))
@click.argument('records', type=click.Path(path_type=Path))
def callers(plan: Path, records: Path) -> None:
    """Send the requests of PLAN and write their outcomes to RECORDS."""
    sender = Callers(plan=load_plan(plan), clock=Clock())
    anyio.run(sender.run)
    write_records(sender.records, records)
