"""Reads the corpus of malformed messages."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from pathlib import Path


@final
class Kind(Enum):
    """What a case is decoded as; also the name of its directory."""

    FRAMES = 'frames'
    DATAGRAMS = 'datagrams'
    HTTP = 'http'
    SETTINGS = 'settings'
    TABLES = 'tables'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Case:
    """One message; the name tells its fault."""

    kind: Kind
    name: str
    payload: bytes


class CorpusError(Exception):
    """A file of the corpus cannot be read."""


def load_cases(directory: Path) -> list[Case]:
    """Return all cases below a directory, in order of their names.

    Raises:
        CorpusError: a directory has no cases or a file is malformed.
    """
    cases: list[Case] = []
    for kind in Kind:
        below = directory / kind.value
        paths = sorted(below.glob('*.*'))
        if not paths:
            raise CorpusError(f'{below}: no cases')
        cases.extend(_load(kind, path) for path in paths)
    return cases


def from_hex(text: str) -> bytes:
    """Return the bytes of a hex file.

    It has bytes separated by spaces; ``41*100`` stands for 100 times 41, and
    ``#`` begins a comment.

    Raises:
        ValueError: a word is something else.
    """
    words = []
    for line in text.splitlines():
        words.extend(line.partition('#')[0].split())
    return b''.join(_word(word) for word in words)


def _load(kind: Kind, path: Path) -> Case:
    try:
        payload = _payload(kind, path)
    except (OSError, ValueError) as exc:
        raise CorpusError(f'{path}: {exc}') from exc
    return Case(kind=kind, name=path.stem, payload=payload)


def _payload(kind: Kind, path: Path) -> bytes:
    if path.suffix == '.hex':
        return from_hex(path.read_text(encoding='ascii'))
    raw = path.read_bytes()
    if kind is Kind.HTTP:
        return raw.replace(b'\n', b'\r\n')
    return raw


def _word(word: str) -> bytes:
    digits, _, count = word.partition('*')
    return bytes.fromhex(digits) * int(count or '1')
