"""Fetching and parsing of accepted revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.console.errors import CommandError
from savorystand.tables.faults import TablesError
from savorystand.tables.parser import parse_tables
from savorystand.tables.tables import empty_tables

if TYPE_CHECKING:
    from savorystand.tables.document import TablesDocument
    from savorystand.tables.repository import TablesRepository
    from savorystand.tables.tables import Tables


async def fetch_newest(repository: TablesRepository) -> TablesDocument | None:
    """Return the newest accepted revision, None if there is none.

    Raises:
        StoreError: the platform did not respond, or the response is malformed.
    """
    revision = await repository.head_revision()
    if not revision:
        return None
    return await repository.fetch(revision)


def parse_revision(
    document: TablesDocument | None,
    *,
    as_json: bool,
) -> Tables:
    """Return the tables of a revision, empty tables for None.

    Raises:
        CommandError: the revision has faults.
    """
    if document is None:
        return empty_tables()
    try:
        return parse_tables(document)
    except TablesError as exc:
        problem = f'revision {document.revision} has faults: {exc}'
        raise CommandError(problem, as_json=as_json) from None
