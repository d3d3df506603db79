"""Guards against lost and reverted changes and against false outcomes.

Concurrent editors, lost responses, late writes and outages of the store must
neither undo an accepted change nor make an editor report a wrong outcome.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from savorystand.tables.editor import TablesEditor
from savorystand.tables.edits import EditConflictError
from savorystand.tables.edits import EditError
from savorystand.tables.edits import EditUnknownError
from savorystand.tables.repository import TablesRepository
from tests.fakes.store import FAULTS
from tests.fakes.store import AutoAdvanceClock
from tests.fakes.store import FakeItemStore

if TYPE_CHECKING:
    from savorystand.tables.document import TablesDocument

_EDITORS = 2
_FAULTS = st.lists(st.sampled_from(FAULTS), max_size=12)


class EditorsMachine(RuleBasedStateMachine):
    """Two editors of one store with lost responses and outages."""

    def __init__(self) -> None:
        """Start with an empty store and no outcomes."""
        super().__init__()
        self.store = FakeItemStore()
        self.repository = TablesRepository(store=self.store)
        self.ids = itertools.count(1)
        self.known_revisions = dict.fromkeys(range(_EDITORS), 0)
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.change_ids: list[str] = []

    @rule(
        editor_index=st.integers(0, _EDITORS - 1),
        offset=st.sampled_from((0, 0, 0, 1)),
        faults=_FAULTS,
    )
    def edit(self, editor_index: int, offset: int, faults: list[str]) -> None:
        """Apply a change to the revision last known, or to the one after."""
        self.known_revisions[editor_index] += offset
        self.store.faults.extend(faults)
        anyio.run(self._edit, editor_index)
        self.store.faults.clear()

    @rule(faults=_FAULTS)
    def edit_concurrently(self, faults: list[str]) -> None:
        """Let both editors change the newest revision concurrently."""
        self.known_revisions = dict.fromkeys(
            range(_EDITORS), len(self.change_ids)
        )
        self.store.faults.extend(faults)
        anyio.run(self._edit_concurrently)
        self.store.faults.clear()

    @rule()
    def apply_late_write(self) -> None:
        """Apply a write whose response an editor no longer waits for."""
        self.store.apply_late_write()

    @invariant()
    def revisions_match_outcomes(self) -> None:
        """Check that revisions are only added and match all outcomes."""
        found = anyio.run(self._read_change_ids)
        assert found[: len(self.change_ids)] == self.change_ids
        assert len(set(found)) == len(found)
        assert len(self.store.stored) == len(found) + bool(found)
        for change_id, revision in self.accepted.items():
            assert found[revision - 1] == change_id
        assert not self.refused.intersection(found)
        self.change_ids = found

    def teardown(self) -> None:
        """Check again after each late write."""
        while self.store.late_writes:
            self.store.apply_late_write()
            self.revisions_match_outcomes()

    async def _read_change_ids(self) -> list[str]:
        head = await self.repository.head()
        revisions = range(1, head.revision + 1)
        found = [await self.repository.fetch(number) for number in revisions]
        assert head.change_id == ''.join(
            document.change_id for document in found[-1:]
        )
        return [document.change_id for document in found]

    async def _edit_concurrently(self) -> None:
        async with anyio.create_task_group() as tasks:
            for editor_index in range(_EDITORS):
                tasks.start_soon(self._edit, editor_index)

    async def _edit(self, editor_index: int) -> None:
        change_id = f'change{next(self.ids)}'
        editor = TablesEditor(
            repository=self.repository,
            snapshot=None,
            clock=AutoAdvanceClock(),
            new_id=lambda: change_id,
        )
        try:
            outcome = await editor.apply(
                '', f'# {editor_index}', self.known_revisions[editor_index]
            )
        except EditUnknownError:
            return
        except EditConflictError as exc:
            self.refused.add(change_id)
            self._record_known(editor_index, exc.theirs)
        except EditError:
            self.refused.add(change_id)
        else:
            self.accepted[change_id] = outcome.document.revision
            self._record_known(editor_index, outcome.document)

    def _record_known(
        self, editor_index: int, document: TablesDocument | None
    ) -> None:
        if document is not None:
            self.known_revisions[editor_index] = document.revision


TestEditors = EditorsMachine.TestCase
TestEditors.settings = settings(max_examples=60, stateful_step_count=30)
