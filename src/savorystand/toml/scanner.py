"""Finds the lines of the statements in a TOML text.

``tomllib`` reports no positions. The scanner relies on a text that ``tomllib``
has accepted and only finds where each header and each key stands.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

if TYPE_CHECKING:
    from collections.abc import Iterator

Path: TypeAlias = tuple[str, ...]
_Token: TypeAlias = tuple[int, str]
_Group: TypeAlias = list[_Token]

# One token of a value: strings and comments as wholes, since they may contain
# the characters that end a value or a line.
_TOKEN = re.compile(
    r'"""(?:\\.|(?!""").)*"{3,5}'
    r"|'''(?:(?!''').)*'{3,5}"
    r'|"(?:\\.|[^"\\\n])*"'
    r"|'[^'\n]*'"
    r'|#[^\n]*'
    r'|[\[{]|[\]}]|\n|[^"\'#\[\]{}\n]+',
    re.DOTALL,
)
_KEY_PART = re.compile(
    r'"((?:\\.|[^"\\])*)"|'
    r"'([^']*)'|([A-Za-z0-9_-]+)",
)
_STRINGS = ('"', "'")
_OPENING = '[{'
_CLOSING = ']}'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Statement:
    """A header or an entry, with its line counted from 1.

    ``path`` of an entry includes the header above it. ``row`` counts the
    ``[[...]]`` headers of the same path from 1 and is 0 outside of such rows.
    """

    line: int
    path: Path
    row: int


def scan(text: str) -> list[Statement]:
    """Return the statements of a valid TOML text in order."""
    rows: dict[Path, int] = {}
    header = Statement(line=1, path=(), row=0)
    found = []
    for group in _logical_lines(text):
        source = ''.join(token for _, token in group).lstrip()
        if not source:
            continue
        line = group[0][0]
        if source.startswith('['):
            header = _header(line, source, rows)
            found.append(header)
            continue
        path = header.path + _parts(_left_side(group))
        found.append(Statement(line=line, path=path, row=header.row))
    return found


def _header(line: int, source: str, rows: dict[Path, int]) -> Statement:
    path = _parts(source)
    if not source.startswith('[['):
        return Statement(line=line, path=path, row=0)
    rows[path] = rows.get(path, 0) + 1
    return Statement(line=line, path=path, row=rows[path])


def _tokens(text: str) -> Iterator[_Token]:
    """Yield the tokens but comments, each with its line."""
    line = 1
    for token in _TOKEN.findall(text):
        if not token.startswith('#'):
            yield line, token
        line += token.count('\n')


def _logical_lines(text: str) -> Iterator[_Group]:
    """Yield the tokens of each statement; blank lines have none or space."""
    depth = 0
    group: _Group = []
    for line, token in _tokens(text):
        depth += (token in _OPENING) - (token in _CLOSING)
        if depth or token != '\n':
            group.append((line, token))
            continue
        yield group
        group = []
    yield group


def _left_side(group: _Group) -> str:
    parts = []
    for _, token in group:
        if token.startswith(_STRINGS):
            parts.append(token)
            continue
        before, equals, _ = token.partition('=')
        parts.append(before)
        if equals:
            break
    return ''.join(parts)


def _parts(source: str) -> Path:
    return tuple(
        basic or literal or bare
        for basic, literal, bare in _KEY_PART.findall(source)
    )
