"""Command groups and entry point of the operators' program."""

from __future__ import annotations

import click

from savorystand.console.commands import settings_check
from savorystand.console.commands import tables_apply
from savorystand.console.commands import tables_check
from savorystand.console.commands import tables_diff
from savorystand.console.commands import tables_history
from savorystand.console.commands import tables_show
from savorystand.console.commands.explain import explain_command
from savorystand.console.commands.report import report_command
from savorystand.console.commands.status import status_command


@click.group('savorystand')
def savorystand() -> None:
    """Manage the tables of routes and pools, check settings and query nodes.

    Exit codes: 0 success, 1 refused, conflict or a node is missing, 2 usage
    error, 3 platform unreachable or all nodes missing, 4 outcome unknown.
    """


@savorystand.group('tables')
def tables() -> None:
    """Check, compare, publish and show the tables of routes and pools."""


@savorystand.group('settings')
def settings() -> None:
    """Check the settings of a node."""


tables.add_command(tables_apply.apply)
tables.add_command(tables_check.check)
tables.add_command(tables_diff.diff)
tables.add_command(tables_history.history)
tables.add_command(tables_show.show)
settings.add_command(settings_check.check)
savorystand.add_command(explain_command)
savorystand.add_command(report_command)
savorystand.add_command(status_command)


def main() -> None:
    """Run the command-line program."""
    savorystand()
