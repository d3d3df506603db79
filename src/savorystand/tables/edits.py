"""Errors that an edit of the tables raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.tables.document import TablesDocument


class EditError(Exception):
    """A change was not accepted, except with ``EditUnknownError``."""


class EditUnavailableError(EditError):
    """The platform could not be reached; the change was not accepted."""


class EditConflictError(EditError):
    """Another change was accepted first, so this one never will be.

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
        """Name the base revision and the newest one in the message."""
        newest = 'another revision'
        if theirs is not None:
            newest = f'{theirs.revision}'
        super().__init__(
            f'the change is based on revision {based_on}, but the newest is '
            + f'{newest}; show that one, merge both changes and apply again',
        )
        self.based_on = based_on
        self.ours = ours
        self.theirs = theirs


class EditUnknownError(EditError):
    """The change may have been accepted, or may be accepted later."""

    def __init__(self, *, ours: TablesDocument, detail: str) -> None:
        """Explain in the message how to find out the outcome."""
        super().__init__(
            f'the change may have been accepted as revision {ours.revision} '
            + f'({detail}); it was accepted if that revision has change id '
            + f'{ours.change_id} in the output of "savorystand tables history"',
        )
        self.ours = ours
        self.detail = detail
