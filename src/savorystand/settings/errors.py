"""Errors in settings files."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class SettingsError(Exception):
    """A settings file is refused.

    The message has the form ``FILE:LINE: PROBLEM; REMEDY``.
    """

    def __init__(
        self,
        *,
        path: Path,
        line: int,
        problem: str,
        remedy: str,
    ) -> None:
        """Describe the first fault of the file; ``line`` counts from 1."""
        super().__init__(f'{path}:{line}: {problem}; {remedy}')
        self.path = path
        self.line = line
        self.problem = problem
        self.remedy = remedy
