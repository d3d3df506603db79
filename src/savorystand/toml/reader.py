"""Reads TOML texts and finds the lines of their entries."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import final

from savorystand.toml.scanner import scan

if TYPE_CHECKING:
    from savorystand.toml.scanner import Path
    from savorystand.toml.scanner import Statement

_AT_LINE = re.compile(r'\s*\(at line (\d+), column \d+\)$')
_MAX_PROBLEM = 120
_AT_END = ' (at end of document)'


class TomlError(Exception):
    """A text is not valid TOML; ``line`` counts from 1."""

    def __init__(self, *, line: int, problem: str) -> None:
        """Describe the first fault of the text."""
        super().__init__(f'line {line}: {problem}')
        self.line = line
        self.problem = problem


@final
@dataclass(slots=True, kw_only=True)
class TomlText:
    """The entries of a text and where they stand.

    Lines are looked for only when a fault is reported, as that takes longer
    than parsing and a node does it while calls wait.
    """

    entries: dict[str, Any]
    text: str
    _statements: tuple[Statement, ...] | None = field(default=None, init=False)

    def line(self, path: Path, *, row: int = 0) -> int:
        """Return the line of an entry, or of what encloses it, else 1.

        Row 0 stands for any row.
        """
        if self._statements is None:
            self._statements = tuple(scan(self.text))
        wanted = path
        while wanted:
            for statement in self._statements:
                if statement.row != row != 0:
                    continue
                if statement.path == wanted:
                    return statement.line
            wanted = wanted[:-1]
        return 1


def read_toml(text: str) -> TomlText:
    """Parse a text.

    Raises:
        TomlError: the text is not valid TOML. Its problem may quote the text,
            always in quotation marks.
    """
    try:
        entries = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise _located(text, str(exc)) from None
    except RecursionError:
        raise TomlError(line=1, problem='arrays nested too deeply') from None
    except ValueError:
        # Integers beyond the interpreter's limit of digits.
        raise TomlError(line=1, problem='a number is too long') from None
    return TomlText(entries=entries, text=text)


def decode_toml(raw: bytes) -> str:
    """Return the text of a file.

    Raises:
        TomlError: the file is not UTF-8.
    """
    try:
        return raw.decode()
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b'\n') + 1
        raise TomlError(line=line, problem='not UTF-8') from None


def _located(text: str, message: str) -> TomlError:
    match = _AT_LINE.search(message)
    if match is None:
        line = text.rstrip('\n').count('\n') + 1
        problem = message.removesuffix(_AT_END)
    else:
        line = int(match.group(1))
        problem = message[: match.start()]
    return TomlError(line=line, problem=problem[:_MAX_PROBLEM])
