"""Rows of a table's text and typed access to their fields."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savorystand.tables.faults import Fault
from savorystand.toml.reader import TomlError
from savorystand.toml.reader import read_toml

if TYPE_CHECKING:
    from savorystand.toml.reader import TomlText

# Both texts of a revision share one item of the table service, which holds
# 400 KB: two texts of 192 KiB leave 16 KiB for the other attributes.
MAX_TEXT_BYTES = 196608
MAX_FIELD = 256
# An index, a router entry and counters exist for each row on each node, of
# whose 64 MB rows may take a small part.
MAX_ROWS = 4096
_MAX_NUMBER = 1000000
_MAX_SHOWN = 60


class Row:
    """One row of a table; collects the faults of its fields."""

    __slots__ = ('_faults', '_fields', '_source', '_kind', '_text', 'number')

    def __init__(
        self,
        *,
        source: str,
        kind: str,
        number: int,
        fields: dict[str, Any],
        text: TomlText,
        faults: list[Fault],
    ) -> None:
        """Read row ``number``, from 1, of the table ``kind``."""
        self._source = source
        self._kind = kind
        self._fields = fields
        self._text = text
        self._faults = faults
        self.number = number

    def fault(self, field: str, problem: str, remedy: str) -> None:
        """Add a fault of a field."""
        self._faults.append(
            Fault(
                source=self._source,
                line=self._text.line((self._kind, field), row=self.number),
                row=self.number,
                field=field if field.isidentifier() else shown(field),
                problem=problem,
                remedy=remedy,
            ),
        )

    def refuse_unknown(self, known: tuple[str, ...]) -> None:
        """Add a fault for each field that is not ``known``."""
        for field in self._fields:
            if field not in known:
                names = ', '.join(known)
                remedy = f'remove it; known are {names}'
                self.fault(field, 'unknown field', remedy)

    def text(self, field: str) -> str | None:
        """Return a text without surrounding space; None after a fault."""
        entry = self._present(field)
        if entry is None:
            return None
        if not isinstance(entry, str):
            self.fault(field, 'not a text', 'put it in quotes')
            return None
        if not entry.isprintable() or entry != entry.strip() or not entry:
            remedy = 'use printable characters without surrounding spaces'
            self.fault(field, 'empty or with spaces around it', remedy)
            return None
        if len(entry) > MAX_FIELD:
            remedy = f'shorten it to {MAX_FIELD} characters'
            self.fault(field, f'{len(entry)} characters long', remedy)
            return None
        return entry

    def number_of(self, field: str) -> int | None:
        """Return a number of at least 1; None after a fault."""
        entry = self._present(field)
        if entry is None:
            return None
        remedy = f'use a whole number from 1 to {_MAX_NUMBER}'
        if isinstance(entry, bool) or not isinstance(entry, int):
            self.fault(field, 'not a whole number', remedy)
            return None
        if entry < 1:
            self.fault(field, 'zero or negative', remedy)
            return None
        if entry > _MAX_NUMBER:
            self.fault(field, 'too large', remedy)
            return None
        return entry

    def flag(self, field: str) -> bool | None:
        """Return true or false; None after a fault."""
        entry = self._present(field)
        if entry is None or isinstance(entry, bool):
            return entry
        self.fault(field, 'neither true nor false', 'use true or false')
        return None

    def _present(self, field: str) -> Any:
        if field not in self._fields:
            self.fault(field, 'missing', 'add the field')
            return None
        return self._fields[field]


def read_rows(
    text: str,
    *,
    source: str,
    kind: str,
    faults: list[Fault],
) -> list[Row]:
    """Return the rows ``[[kind]]`` of a text; faults are collected."""
    parsed = _parsed(text, source=source, faults=faults)
    if parsed is None:
        return []
    rows = parsed.entries.get(kind, [])
    for name in parsed.entries:
        if name != kind:
            line = parsed.line((name,)) if name else 1
            problem = f'unknown table or entry {shown(name)}'
            remedy = f'keep only rows [[{kind}]]'
            _refuse(faults, source, line, problem, remedy)
    tables = isinstance(rows, list) and all(
        isinstance(row, dict) for row in rows
    )
    if not tables:
        line = parsed.line((kind,))
        remedy = f'write each row below a line [[{kind}]]'
        _refuse(faults, source, line, f'{kind} is not a list of rows', remedy)
        return []
    if len(rows) > MAX_ROWS:
        line = parsed.line((kind,), row=MAX_ROWS + 1)
        remedy = f'keep at most {MAX_ROWS}'
        _refuse(faults, source, line, f'{len(rows)} rows', remedy)
        return []
    return [
        Row(
            source=source,
            kind=kind,
            number=number,
            fields=fields,
            text=parsed,
            faults=faults,
        )
        for number, fields in enumerate(rows, start=1)
    ]


def shown(text: str) -> str:
    """Return a text in quotes, shortened and free of control characters."""
    if len(text) > _MAX_SHOWN:
        start = ascii(text[:_MAX_SHOWN])
        return f'{start}...'
    return ascii(text)


def _parsed(text: str, *, source: str, faults: list[Fault]) -> TomlText | None:
    size = len(text.encode(errors='surrogatepass'))
    if size > MAX_TEXT_BYTES:
        remedy = f'shorten the text to {MAX_TEXT_BYTES} bytes'
        _refuse(faults, source, 1, f'{size} bytes of text', remedy)
        return None
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        line = text.count('\n', 0, exc.start) + 1
        _refuse(faults, source, line, 'not Unicode text', 'save it as UTF-8')
        return None
    try:
        return read_toml(text)
    except TomlError as exc:
        problem = f'broken TOML: {exc.problem}'
        _refuse(faults, source, exc.line, problem, 'correct the syntax')
        return None


def _refuse(
    faults: list[Fault],
    source: str,
    line: int,
    problem: str,
    remedy: str,
) -> None:
    faults.append(
        Fault(source=source, line=line, problem=problem, remedy=remedy)
    )
