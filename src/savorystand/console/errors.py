"""Errors that end a command, and their exit codes."""

from __future__ import annotations

import json
from typing import IO
from typing import Any

import click


class CommandError(click.ClickException):
    """The command was refused.

    ``outcome`` names the kind of error in JSON output.
    """

    exit_code = 1
    outcome = 'refused'

    def __init__(
        self,
        *problems: str,
        as_json: bool,
        **extra: Any,
    ) -> None:
        """Initialize the error with at least one problem.

        Text output has one line per problem. JSON output contains all problems
        and the fields of ``extra``.
        """
        super().__init__(problems[0])
        self.problems = problems
        self.as_json = as_json
        self.extra = extra

    def show(self, file: IO[Any] | None = None) -> None:  # noqa: WPS110 - name given by click
        """Write JSON to standard output, or text to standard error."""
        if self.as_json:
            document = {
                'ok': False,
                'outcome': self.outcome,
                'problems': self.problems,
                **self.extra,
            }
            click.echo(json.dumps(document))
            return
        for problem in self.problems:
            click.echo(f'error: {problem}', err=True)


class ConflictCommandError(CommandError):
    """Another change was accepted first."""

    outcome = 'conflict'


class PlatformUnreachableError(CommandError):
    """The platform did not respond; nothing was changed."""

    exit_code = 3
    outcome = 'unreachable'


class UnknownOutcomeError(CommandError):
    """The change may have been accepted."""

    exit_code = 4
    outcome = 'unknown'
