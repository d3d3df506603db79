"""Compares two revisions of the tables row by row."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.tables.pool import Pool
from savorystand.tables.route import Route

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.tables.tables import Tables

TableRow: TypeAlias = Route | Pool


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Added:
    """A row that only the newer revision has."""

    row: TableRow


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Removed:
    """A row that only the older revision has."""

    row: TableRow


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Changed:
    """A row whose fields differ between the two revisions."""

    before: TableRow
    after: TableRow

    def fields(self) -> tuple[str, ...]:
        """Return the names of the fields that differ."""
        return tuple(
            field.name
            for field in fields(self.before)
            if getattr(self.before, field.name)
            != getattr(self.after, field.name)
        )


Change: TypeAlias = Added | Removed | Changed


def difference(before: Tables, after: Tables) -> tuple[Change, ...]:
    """Return the changes sorted by row name, routes before pools."""
    return (
        *_changes(before.routes, after.routes),
        *_changes(before.pools, after.pools),
    )


def describe(change: Change) -> str:
    """Return a one-line description of a change."""
    match change:
        case Added(row=row):
            return f'+ {describe_row(row)}'
        case Removed(row=row):
            return f'- {describe_row(row)}'
        case Changed(before=before, after=after):
            names = ', '.join(change.fields())
            old = describe_row(before)
            new = describe_row(after)
            return f'~ {old} -> {new} ({names})'


def describe_row(row: TableRow) -> str:
    """Return a one-line description of a row."""
    match row:
        case Route():
            kind = 'idempotent' if row.idempotent else 'not idempotent'
            importance = row.importance.name.lower()
            match = f'{row.method} {row.path}'
            return (
                f'route {row.name}: {match} to {row.pool}, {importance}, {kind}'
            )
        case Pool():
            slots = f'{row.slots} slots'
            return f'pool {row.name}: {slots}, {row.connections} connections'


def _changes(
    before: Iterable[TableRow], after: Iterable[TableRow]
) -> list[Change]:
    old = {row.name: row for row in before}
    new = {row.name: row for row in after}
    changes: list[Change] = []
    for name in sorted(old.keys() | new.keys()):
        change = _change(old.get(name), new.get(name))
        if change is not None:
            changes.append(change)
    return changes


def _change(before: TableRow | None, after: TableRow | None) -> Change | None:
    if before == after:
        return None
    if after is None:
        assert before is not None
        return Removed(row=before)
    if before is None:
        return Added(row=after)
    return Changed(before=before, after=after)
