"""Publishes new revisions of the tables."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreContentionError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError
from savorystand.tables.document import TablesDocument
from savorystand.tables.edits import EditConflictError
from savorystand.tables.edits import EditError
from savorystand.tables.edits import EditUnavailableError
from savorystand.tables.edits import EditUnknownError
from savorystand.tables.parser import parse_tables

if TYPE_CHECKING:
    from savorystand.clock import Clock
    from savorystand.tables.repository import Head
    from savorystand.tables.repository import TablesRepository
    from savorystand.tables.snapshot import TablesSnapshot

# 64 random bits make a change id unique among all changes.
_CHANGE_ID_BYTES = 8
# Bounds how long an operator waits while a publication is retried and looked
# up, because its response was lost or the table service is busy.
_CONFIRM_TIMEOUT_MS = 15000
_RETRY_INTERVAL_MS = 200
_MAX_ATTEMPTS = 20

IdFactory: TypeAlias = Callable[[], str]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class AcceptedEdit:
    """An accepted change.

    ``warning`` says why the snapshot was not written; it is empty if it was or
    if there is none.
    """

    document: TablesDocument
    warning: str = ''


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Outcome:
    """The outcome of one attempt to publish.

    ``unknown_detail`` says why it is unknown whether the change was accepted;
    it is empty otherwise.
    """

    accepted: bool = False
    unknown_detail: str = ''


def new_change_id() -> str:
    """Return a random change id in hexadecimal."""
    return secrets.token_hex(_CHANGE_ID_BYTES)


class TablesEditor:
    """Publishes edits as revisions by compare-and-set.

    The item of a revision is never overwritten or deleted. The change id in
    it therefore decides permanently which of two concurrent changes was
    accepted, however late responses or writes arrive.
    """

    __slots__ = ('_clock', '_new_id', '_repository', '_snapshot')

    def __init__(
        self,
        *,
        repository: TablesRepository,
        snapshot: TablesSnapshot | None,
        clock: Clock,
        new_id: IdFactory = new_change_id,
    ) -> None:
        """Publish to ``repository``, then to ``snapshot`` unless it is None."""
        self._repository = repository
        self._snapshot = snapshot
        self._clock = clock
        self._new_id = new_id

    async def apply(
        self, routes: str, pools: str, based_on: int
    ) -> AcceptedEdit:
        """Publish both texts as the revision that follows ``based_on``.

        Raises:
            TablesError: the texts have faults.
            EditConflictError: ``based_on`` is not the newest revision.
            EditUnavailableError: the platform could not be reached.
            EditUnknownError: the change may have been accepted.
            EditError: the platform refused the change.
        """
        ours = TablesDocument(
            revision=based_on + 1,
            change_id=self._new_id(),
            routes=routes,
            pools=pools,
        )
        parse_tables(ours)
        base = await self._read_base(ours)
        await self._publish(ours, base)
        return AcceptedEdit(
            document=ours, warning=await self._write_snapshot(ours)
        )

    async def _read_base(self, ours: TablesDocument) -> Head:
        try:
            head = await self._repository.head()
        except StoreError as exc:
            raise _refused_error(exc) from exc
        if head.revision != ours.revision - 1:
            raise await self._conflict_error(ours)
        return head

    async def _publish(self, ours: TablesDocument, base: Head) -> None:
        deadline = self._clock.now() + _CONFIRM_TIMEOUT_MS
        unknown_detail = ''
        for _ in range(_MAX_ATTEMPTS):
            # An earlier write without a response may still be applied.
            # Repeating it under the same conditions settles the outcome and
            # cannot apply the change twice.
            outcome = await self._attempt(
                ours, base, outcome_unknown=bool(unknown_detail)
            )
            unknown_detail = outcome.unknown_detail or unknown_detail
            if outcome.accepted or (
                unknown_detail and await self._is_accepted(ours)
            ):
                return
            if self._clock.now() >= deadline:
                break
            await self._clock.sleep(_RETRY_INTERVAL_MS)
        raise _unconfirmed_error(ours, unknown_detail)

    async def _attempt(
        self,
        ours: TablesDocument,
        base: Head,
        *,
        outcome_unknown: bool,
    ) -> _Outcome:
        """Send the change once.

        With ``outcome_unknown`` a refusal is not final, as an earlier attempt
        may have been accepted.
        """
        try:
            await self._repository.publish(ours, base=base)
        except StoreUnknownError as exc:
            return _Outcome(unknown_detail=str(exc))
        except StoreContentionError:
            return _Outcome()
        except StoreError as exc:
            if outcome_unknown:
                return _Outcome()
            if isinstance(exc, ConditionFailedError):
                raise await self._conflict_error(ours) from exc
            raise _refused_error(exc) from exc
        return _Outcome(accepted=True)

    async def _is_accepted(self, ours: TablesDocument) -> bool:
        """Return True if the change is stored, False if that is unknown.

        Raises:
            EditConflictError: the revision holds another change.
        """
        try:
            stored = await self._repository.find(ours.revision)
        except StoreError:
            return False
        if stored is None:
            return False
        if stored.change_id != ours.change_id:
            raise await self._conflict_error(ours)
        return True

    async def _conflict_error(self, ours: TablesDocument) -> EditConflictError:
        """Return the error, with the newest revision if it can be read."""
        theirs = None
        try:
            theirs = await self._repository.find(
                await self._repository.head_revision(),
            )
        except StoreError:
            theirs = None
        return EditConflictError(
            based_on=ours.revision - 1,
            ours=ours,
            theirs=theirs,
        )

    async def _write_snapshot(self, ours: TablesDocument) -> str:
        if self._snapshot is None:
            return ''
        try:
            await self._snapshot.write(ours)
        except StoreError as exc:
            return f'accepted, but the snapshot was not written: {exc}'
        return ''


def _unconfirmed_error(ours: TablesDocument, unknown_detail: str) -> EditError:
    if unknown_detail:
        return EditUnknownError(ours=ours, detail=unknown_detail)
    return EditUnavailableError('not accepted: the table service is busy')


def _refused_error(exc: StoreError) -> EditError:
    problem = f'not accepted: {exc}'
    if isinstance(exc, StoreUnavailableError):
        return EditUnavailableError(problem)
    return EditError(problem)
