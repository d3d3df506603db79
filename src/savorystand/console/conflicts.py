"""Error message for conflicting edits of the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.console.errors import ConflictCommandError
from savorystand.console.output import change_document
from savorystand.console.platform import run_operation
from savorystand.tables.difference import Change
from savorystand.tables.difference import describe
from savorystand.tables.difference import difference
from savorystand.tables.faults import TablesError
from savorystand.tables.parser import parse_tables
from savorystand.tables.tables import empty_tables

if TYPE_CHECKING:
    from savorystand.console.platform import PlatformAccess
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.edits import EditConflictError


def conflict_error(
    conflict: EditConflictError,
    access: PlatformAccess,
    *,
    as_json: bool,
) -> ConflictCommandError:
    """Return the error that shows the changes of each side.

    The changes are relative to the revision that the edit is based on.

    Raises:
        CommandError: the platform failed while that revision was fetched.
    """
    base = None
    if conflict.based_on:
        base = run_operation(
            lambda: access.repository().find(conflict.based_on),
            as_json=as_json,
        )
    ours = _changes_from_base(base, conflict.ours)
    theirs = _changes_from_base(base, conflict.theirs)
    newest = None if conflict.theirs is None else conflict.theirs.revision
    return ConflictCommandError(
        f'conflict: {conflict}',
        *(f'ours: {describe(change)}' for change in ours),
        *(f'theirs: {describe(change)}' for change in theirs),
        as_json=as_json,
        based_on=conflict.based_on,
        newest=newest,
        ours=[change_document(change) for change in ours],
        theirs=[change_document(change) for change in theirs],
    )


def _changes_from_base(
    base: TablesDocument | None,
    side: TablesDocument | None,
) -> tuple[Change, ...]:
    if side is None:
        return ()
    before = empty_tables()
    try:
        if base is not None:
            before = parse_tables(base)
        return difference(before, parse_tables(side))
    except TablesError:
        # A revision written by another version may not pass the checks. The
        # conflict is then reported without this side's changes.
        return ()
