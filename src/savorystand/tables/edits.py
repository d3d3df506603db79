"""Errors of an edit of the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.tables.document import TablesDocument


class EditError(Exception):
    """A change was not accepted, unless a subclass says otherwise."""


class EditUnavailableError(EditError):
    """The platform could not be reached; the change was not accepted."""


class EditConflictError(EditError):
    """Another change was accepted first; ours was not and will not be.

    ``ours`` is the refused change. ``theirs`` is the newest revision, None if
    there is none or it could not be read.
    """

    def __init__(
        self,
        *,
        based_on: int,
        ours: TablesDocument,
        theirs: TablesDocument | None,
    ) -> None:
        """Describe both sides."""
        newest = 'another one'
        if theirs is not None:
            newest = f'{theirs.revision}'
        super().__init__(
            f'the change is based on revision {based_on}, but the newest is '
            + f'{newest}; show it, merge both and apply again',
        )
        self.based_on = based_on
        self.ours = ours
        self.theirs = theirs


class EditUnknownError(EditError):
    """The change may have been accepted, or may still be."""

    def __init__(self, *, ours: TablesDocument, detail: str) -> None:
        """Say how the outcome can be found out."""
        super().__init__(
            f'the change may have been accepted as revision {ours.revision} '
            + f'({detail}); it was if that revision carries change id '
            + f'{ours.change_id} in "savorystand tables history"',
        )
        self.ours = ours
        self.detail = detail
