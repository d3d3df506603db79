"""Parses TOML texts and finds the line numbers of their entries."""

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

_LINE_SUFFIX = re.compile(r'\s*\(at line (\d+), column \d+\)$')
_MAX_PROBLEM_CHARS = 120
_END_SUFFIX = ' (at end of document)'


class TomlError(Exception):
    """A text is not valid TOML; ``line`` counts from 1."""

    def __init__(self, *, line: int, problem: str) -> None:
        """Describe the first syntax error of the text."""
        super().__init__(f'line {line}: {problem}')
        self.line = line
        self.problem = problem


@final
@dataclass(slots=True, kw_only=True)
class TomlText:
    """The parsed entries of a text and their lines.

    Lines are searched only when a fault is reported. The search takes longer
    than parsing, and calls on a node wait while it parses.
    """

    entries: dict[str, Any]
    text: str
    _statements: tuple[Statement, ...] | None = field(default=None, init=False)

    def line(self, path: Path, *, row: int = 0) -> int:
        """Return the line of an entry, or of its nearest header, else 1.

        ``row`` is the number of the ``[[...]]`` row that has the entry; 0
        means any row.
        """
        if self._statements is None:
            self._statements = tuple(scan(self.text))
        ancestor = path
        while ancestor:
            for statement in self._statements:
                if statement.row != row != 0:
                    continue
                if statement.path == ancestor:
                    return statement.line
            ancestor = ancestor[:-1]
        return 1


def read_toml(text: str) -> TomlText:
    """Parse a TOML text.

    Raises:
        TomlError: the text is not valid TOML. ``problem`` may contain parts of
            the text, always in quotation marks.
    """
    try:
        entries = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise _decode_error(text, str(exc)) from None
    except RecursionError:
        raise TomlError(line=1, problem='arrays nested too deeply') from None
    except ValueError:
        # The number of digits exceeds the interpreter's limit for integers.
        raise TomlError(line=1, problem='a number is too long') from None
    return TomlText(entries=entries, text=text)


def decode_toml(raw: bytes) -> str:
    """Decode the bytes of a TOML file.

    Raises:
        TomlError: the bytes are not UTF-8.
    """
    try:
        return raw.decode()
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b'\n') + 1
        raise TomlError(line=line, problem='not UTF-8') from None


def _decode_error(text: str, message: str) -> TomlError:
    match = _LINE_SUFFIX.search(message)
    if match is None:
        line = text.rstrip('\n').count('\n') + 1
        problem = message.removesuffix(_END_SUFFIX)
    else:
        line = int(match.group(1))
        problem = message[: match.start()]
    return TomlError(line=line, problem=problem[:_MAX_PROBLEM_CHARS])
