"""Finds the lines of the statements in a TOML text.

``tomllib`` reports no positions of entries. The scanner requires a text that
``tomllib`` has accepted and only finds the line of each header and key.
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
_Tokens: TypeAlias = list[_Token]

# A string or a comment is one token, since it may contain the characters that
# end a value or a line.
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
_QUOTES = ('"', "'")
_OPENING = '[{'
_CLOSING = ']}'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Statement:
    """A header or an entry with its line, counted from 1.

    ``path`` of an entry starts with the path of its header. ``row`` counts the
    ``[[...]]`` headers with the same path from 1; it is 0 outside such rows.
    """

    line: int
    path: Path
    row: int


def scan(text: str) -> list[Statement]:
    """Return the statements of a valid TOML text in their order."""
    rows: dict[Path, int] = {}
    header = Statement(line=1, path=(), row=0)
    found = []
    for tokens in _logical_lines(text):
        source = ''.join(token for _, token in tokens).lstrip()
        if not source:
            continue
        line = tokens[0][0]
        if source.startswith('['):
            header = _header(line, source, rows)
            found.append(header)
            continue
        path = header.path + _key_parts(_key_source(tokens))
        found.append(Statement(line=line, path=path, row=header.row))
    return found


def _header(line: int, source: str, rows: dict[Path, int]) -> Statement:
    path = _key_parts(source)
    if not source.startswith('[['):
        return Statement(line=line, path=path, row=0)
    rows[path] = rows.get(path, 0) + 1
    return Statement(line=line, path=path, row=rows[path])


def _tokens(text: str) -> Iterator[_Token]:
    """Yield each token except comments with its line."""
    line = 1
    for token in _TOKEN.findall(text):
        if not token.startswith('#'):
            yield line, token
        line += token.count('\n')


def _logical_lines(text: str) -> Iterator[_Tokens]:
    """Yield the tokens of each statement.

    The list for a blank line is empty or has only white space.
    """
    depth = 0
    tokens: _Tokens = []
    for line, token in _tokens(text):
        depth += (token in _OPENING) - (token in _CLOSING)
        if depth or token != '\n':
            tokens.append((line, token))
            continue
        yield tokens
        tokens = []
    yield tokens


def _key_source(tokens: _Tokens) -> str:
    parts = []
    for _, token in tokens:
        if token.startswith(_QUOTES):
            parts.append(token)
            continue
        before, equals, _ = token.partition('=')
        parts.append(before)
        if equals:
            break
    return ''.join(parts)


def _key_parts(source: str) -> Path:
    return tuple(
        basic or literal or bare
        for basic, literal, bare in _KEY_PART.findall(source)
    )
