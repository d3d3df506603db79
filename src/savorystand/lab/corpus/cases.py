"""Loads the corpus of malformed messages."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from pathlib import Path


@final
class Kind(Enum):
    """Kind of message; the value is the name of its directory."""

    FRAMES = 'frames'
    DATAGRAMS = 'datagrams'
    HTTP = 'http'
    SETTINGS = 'settings'
    TABLES = 'tables'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Case:
    """One message; the name of a malformed one describes its fault."""

    kind: Kind
    name: str
    payload: bytes


class CorpusError(Exception):
    """The corpus has an unreadable file, or no cases of some kind."""


def load_cases(directory: Path) -> list[Case]:
    """Return all cases of a corpus directory, by kind and name.

    Raises:
        CorpusError: a kind has no cases, or a file cannot be read.
    """
    cases: list[Case] = []
    for kind in Kind:
        case_directory = directory / kind.value
        paths = sorted(case_directory.glob('*.*'))
        if not paths:
            raise CorpusError(f'{case_directory}: no cases found')
        cases.extend(_load_case(kind, path) for path in paths)
    return cases


def parse_hex(text: str) -> bytes:
    """Return the bytes that a hex file describes.

    The file has hexadecimal bytes separated by white space. ``41*100`` repeats
    the byte 41 a hundred times; ``#`` starts a comment.

    Raises:
        ValueError: a word is neither hexadecimal nor a repetition.
    """
    words = []
    for line in text.splitlines():
        words.extend(line.partition('#')[0].split())
    return b''.join(_parse_word(word) for word in words)


def _load_case(kind: Kind, path: Path) -> Case:
    try:
        payload = _read_payload(kind, path)
    except (OSError, ValueError) as exc:
        raise CorpusError(f'{path}: {exc}') from exc
    return Case(kind=kind, name=path.stem, payload=payload)


def _read_payload(kind: Kind, path: Path) -> bytes:
    if path.suffix == '.hex':
        return parse_hex(path.read_text(encoding='ascii'))
    raw = path.read_bytes()
    if kind is Kind.HTTP:
        return raw.replace(b'\n', b'\r\n')
    return raw


def _parse_word(word: str) -> bytes:
    digits, _, count = word.partition('*')
    return bytes.fromhex(digits) * int(count or '1')
