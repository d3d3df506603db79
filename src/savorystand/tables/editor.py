"""Publishes changes of the tables."""

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

# 64 random bits, unique among all changes ever made.
_CHANGE_ID_BYTES = 8
# An operator waits this long at most for a lost answer to be settled.
SETTLE_MS = 15000
_PAUSE_MS = 200
_MAX_ROUNDS = 20

IdFactory: TypeAlias = Callable[[], str]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Accepted:
    """The change is the revision; ``warning`` tells what else went wrong."""

    document: TablesDocument
    warning: str = ''


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Outcome:
    """What one attempt told; ``doubt`` is set if its answer was lost."""

    accepted: bool = False
    doubt: str = ''


def new_change_id() -> str:
    """Return a new change id."""
    return secrets.token_hex(_CHANGE_ID_BYTES)


class TablesEditor:
    """Turns edits into revisions by compare-and-set.

    The item of a revision is never overwritten or deleted. Whose change id it
    carries therefore decides for ever which of two concurrent changes was
    accepted, however late the answers or the writes arrive.
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
        """Publish to ``repository``, then to ``snapshot`` if there is one."""
        self._repository = repository
        self._snapshot = snapshot
        self._clock = clock
        self._new_id = new_id

    async def apply(self, routes: str, pools: str, based_on: int) -> Accepted:
        """Publish both texts as the revision after ``based_on``.

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
        base = await self._base(ours)
        await self._publish(ours, base)
        return Accepted(document=ours, warning=await self._save(ours))

    async def _base(self, ours: TablesDocument) -> Head:
        try:
            head = await self._repository.head()
        except StoreError as exc:
            raise _refused(exc) from exc
        if head.revision != ours.revision - 1:
            raise await self._conflict(ours)
        return head

    async def _publish(self, ours: TablesDocument, base: Head) -> None:
        deadline = self._clock.now() + SETTLE_MS
        doubt = ''
        for _ in range(_MAX_ROUNDS):
            # Repeating the write under the same conditions forces a decision
            # where the first one may still arrive, and cannot accept the
            # change twice.
            outcome = await self._attempt(ours, base, in_doubt=bool(doubt))
            doubt = outcome.doubt or doubt
            if outcome.accepted or (doubt and await self._found(ours)):
                return
            if self._clock.now() >= deadline:
                break
            await self._clock.sleep(_PAUSE_MS)
        raise _undecided(ours, doubt)

    async def _attempt(
        self,
        ours: TablesDocument,
        base: Head,
        *,
        in_doubt: bool,
    ) -> _Outcome:
        """Send the change once; after doubt no refusal is final."""
        try:
            await self._repository.publish(ours, base=base)
        except StoreUnknownError as exc:
            return _Outcome(doubt=str(exc))
        except StoreContentionError:
            return _Outcome()
        except StoreError as exc:
            if in_doubt:
                return _Outcome()
            if isinstance(exc, ConditionFailedError):
                raise await self._conflict(ours) from exc
            raise _refused(exc) from exc
        return _Outcome(accepted=True)

    async def _found(self, ours: TablesDocument) -> bool:
        """Return True once accepted, False while the outcome is unknown."""
        try:
            found = await self._repository.find(ours.revision)
        except StoreError:
            return False
        if found is None:
            return False
        if found.change_id != ours.change_id:
            raise await self._conflict(ours)
        return True

    async def _conflict(self, ours: TablesDocument) -> EditConflictError:
        """Return the conflict with the newest revision, where it is known."""
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

    async def _save(self, ours: TablesDocument) -> str:
        if self._snapshot is None:
            return ''
        try:
            await self._snapshot.write(ours)
        except StoreError as exc:
            return f'accepted, but the snapshot was not written: {exc}'
        return ''


def _undecided(ours: TablesDocument, doubt: str) -> EditError:
    if doubt:
        return EditUnknownError(ours=ours, detail=doubt)
    return EditUnavailableError('not accepted: the table service is busy')


def _refused(exc: StoreError) -> EditError:
    problem = f'not accepted: {exc}'
    if isinstance(exc, StoreUnavailableError):
        return EditUnavailableError(problem)
    return EditError(problem)
