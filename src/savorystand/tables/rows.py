"""Reads the rows of a table with typed access to their fields."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savorystand.tables.faults import Fault
from savorystand.toml.reader import TomlError
from savorystand.toml.reader import read_toml

if TYPE_CHECKING:
    from savorystand.toml.reader import TomlText

# Both texts of a revision are stored in one item of the table service, which
# holds 400 KB: two texts of 192 KiB leave 16 KiB for the other attributes.
MAX_TEXT_BYTES = 196608
_MAX_FIELD_CHARS = 256
# Each row costs an index entry, a router entry and counters on each node. Rows
# may take only a small part of a node's 64 MB.
_MAX_ROWS = 4096
_MAX_NUMBER = 1000000
_MAX_QUOTED_CHARS = 60


class Row:
    """One row of a table; adds the faults of its fields to a list."""

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
        """Hold row ``number``, counted from 1, of ``[[kind]]`` in ``text``."""
        self._source = source
        self._kind = kind
        self._fields = fields
        self._text = text
        self._faults = faults
        self.number = number

    def add_fault(self, field: str, problem: str, remedy: str) -> None:
        """Add a fault with the line of a field."""
        self._faults.append(
            Fault(
                source=self._source,
                line=self._text.line((self._kind, field), row=self.number),
                row=self.number,
                field=field if field.isidentifier() else quoted(field),
                problem=problem,
                remedy=remedy,
            ),
        )

    def refuse_unknown(self, known: tuple[str, ...]) -> None:
        """Add a fault for each field that is not in ``known``."""
        for field in self._fields:
            if field not in known:
                names = ', '.join(known)
                remedy = f'remove it; known fields are {names}'
                self.add_fault(field, 'unknown field', remedy)

    def text(self, field: str) -> str | None:
        """Return a string; add a fault and return None if it is not valid.

        A valid string has 1 to 256 printable characters and no surrounding
        spaces.
        """
        entry = self._required(field)
        if entry is None:
            return None
        if not isinstance(entry, str):
            self.add_fault(field, 'not a string', 'put it in quotes')
            return None
        if not entry.isprintable() or entry != entry.strip() or not entry:
            remedy = 'use printable characters without surrounding spaces'
            self.add_fault(
                field, 'empty, not printable or with spaces around it', remedy
            )
            return None
        if len(entry) > _MAX_FIELD_CHARS:
            remedy = f'shorten it to {_MAX_FIELD_CHARS} characters'
            self.add_fault(field, f'{len(entry)} characters long', remedy)
            return None
        return entry

    def whole_number(self, field: str) -> int | None:
        """Return a positive integer; add a fault and return None otherwise."""
        entry = self._required(field)
        if entry is None:
            return None
        remedy = f'use a whole number from 1 to {_MAX_NUMBER}'
        if isinstance(entry, bool) or not isinstance(entry, int):
            self.add_fault(field, 'not a whole number', remedy)
            return None
        if entry < 1:
            self.add_fault(field, 'zero or negative', remedy)
            return None
        if entry > _MAX_NUMBER:
            self.add_fault(field, 'too large', remedy)
            return None
        return entry

    def boolean(self, field: str) -> bool | None:
        """Return a boolean; add a fault and return None otherwise."""
        entry = self._required(field)
        if entry is None or isinstance(entry, bool):
            return entry
        self.add_fault(field, 'neither true nor false', 'use true or false')
        return None

    def _required(self, field: str) -> Any:
        if field not in self._fields:
            self.add_fault(field, 'missing', 'add the field')
            return None
        return self._fields[field]


def read_rows(
    text: str,
    *,
    source: str,
    kind: str,
    faults: list[Fault],
) -> list[Row]:
    """Return the rows ``[[kind]]`` of a text; add faults to ``faults``."""
    parsed = _parse(text, source=source, faults=faults)
    if parsed is None:
        return []
    rows = parsed.entries.get(kind, [])
    for name in parsed.entries:
        if name != kind:
            line = parsed.line((name,)) if name else 1
            problem = f'unknown table or entry {quoted(name)}'
            remedy = f'keep only rows [[{kind}]]'
            _add_table_fault(faults, source, line, problem, remedy)
    is_table_list = isinstance(rows, list) and all(
        isinstance(row, dict) for row in rows
    )
    if not is_table_list:
        line = parsed.line((kind,))
        remedy = f'start each row with a line [[{kind}]]'
        _add_table_fault(
            faults, source, line, f'{kind} is not a list of rows', remedy
        )
        return []
    if len(rows) > _MAX_ROWS:
        line = parsed.line((kind,), row=_MAX_ROWS + 1)
        remedy = f'keep at most {_MAX_ROWS} rows'
        _add_table_fault(faults, source, line, f'{len(rows)} rows', remedy)
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


def quoted(text: str) -> str:
    """Return a text in quotes as ASCII, shortened and escaped."""
    if len(text) > _MAX_QUOTED_CHARS:
        start = ascii(text[:_MAX_QUOTED_CHARS])
        return f'{start}...'
    return ascii(text)


def _parse(text: str, *, source: str, faults: list[Fault]) -> TomlText | None:
    size = len(text.encode(errors='surrogatepass'))
    if size > MAX_TEXT_BYTES:
        remedy = f'shorten it to {MAX_TEXT_BYTES} bytes'
        _add_table_fault(
            faults, source, 1, f'the text has {size} bytes', remedy
        )
        return None
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        line = text.count('\n', 0, exc.start) + 1
        _add_table_fault(
            faults, source, line, 'not valid Unicode', 'save it as UTF-8'
        )
        return None
    try:
        return read_toml(text)
    except TomlError as exc:
        problem = f'not valid TOML: {exc.problem}'
        _add_table_fault(
            faults, source, exc.line, problem, 'correct the syntax'
        )
        return None


def _add_table_fault(
    faults: list[Fault],
    source: str,
    line: int,
    problem: str,
    remedy: str,
) -> None:
    faults.append(
        Fault(source=source, line=line, problem=problem, remedy=remedy)
    )
