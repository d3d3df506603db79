"""Failures of commands and their exit codes."""

from __future__ import annotations

import json
from typing import IO
from typing import Any

import click


class CommandError(click.ClickException):
    """Ends a command: it was refused.

    ``outcome`` names the kind of failure in JSON output.
    """

    exit_code = 1
    outcome = 'refused'

    def __init__(
        self,
        *problems: str,
        as_json: bool,
        **more: Any,
    ) -> None:
        """Show each problem in a line, or all and ``more`` as JSON."""
        super().__init__(problems[0])
        self.problems = problems
        self.as_json = as_json
        self.more = more

    def show(self, file: IO[Any] | None = None) -> None:  # noqa: WPS110 - name given by click
        """Write the failure: JSON to standard output, else to error."""
        if self.as_json:
            document = {
                'ok': False,
                'outcome': self.outcome,
                'problems': self.problems,
                **self.more,
            }
            click.echo(json.dumps(document))
            return
        for problem in self.problems:
            click.echo(f'error: {problem}', err=True)


class ConflictCommandError(CommandError):
    """Another change was accepted first."""

    outcome = 'conflict'


class UnreachableCommandError(CommandError):
    """The platform gave no answer; nothing was changed."""

    exit_code = 3
    outcome = 'unreachable'


class UnknownCommandError(CommandError):
    """A change may have been accepted."""

    exit_code = 4
    outcome = 'unknown'
