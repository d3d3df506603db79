"""Failures: an accepted change is lost or reverted, or a verdict is false."""

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
    """Two editors against one store with lost answers and outages."""

    def __init__(self) -> None:
        """Start with an empty store and no verdicts."""
        super().__init__()
        self.store = FakeItemStore()
        self.repository = TablesRepository(store=self.store)
        self.ids = itertools.count(1)
        self.seen = dict.fromkeys(range(_EDITORS), 0)
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.chain: list[str] = []

    @rule(
        who=st.integers(0, _EDITORS - 1),
        ahead=st.sampled_from((0, 0, 0, 1)),
        faults=_FAULTS,
    )
    def edit(self, who: int, ahead: int, faults: list[str]) -> None:
        """Apply a change based on the revision seen last, or a false one."""
        self.seen[who] += ahead
        self.store.faults.extend(faults)
        anyio.run(self._edit, who)
        self.store.faults.clear()

    @rule(faults=_FAULTS)
    def edit_at_once(self, faults: list[str]) -> None:
        """Let both editors apply changes of the newest revision."""
        self.seen = dict.fromkeys(range(_EDITORS), len(self.chain))
        self.store.faults.extend(faults)
        anyio.run(self._edit_all)
        self.store.faults.clear()

    @rule()
    def arrive(self) -> None:
        """Let a write arrive whose answer was given up."""
        self.store.apply_late_write()

    @invariant()
    def chain_holds(self) -> None:
        """Revisions only grow, and each verdict agrees with them."""
        found = anyio.run(self._read_chain)
        assert found[: len(self.chain)] == self.chain
        assert len(set(found)) == len(found)
        assert len(self.store.stored) == len(found) + bool(found)
        for change_id, revision in self.accepted.items():
            assert found[revision - 1] == change_id
        assert not self.refused.intersection(found)
        self.chain = found

    def teardown(self) -> None:
        """Check again after all late writes."""
        while self.store.late_writes:
            self.store.apply_late_write()
            self.chain_holds()

    async def _read_chain(self) -> list[str]:
        head = await self.repository.head()
        revisions = range(1, head.revision + 1)
        found = [await self.repository.fetch(number) for number in revisions]
        assert head.change_id == ''.join(one.change_id for one in found[-1:])
        return [one.change_id for one in found]

    async def _edit_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for who in range(_EDITORS):
                tasks.start_soon(self._edit, who)

    async def _edit(self, who: int) -> None:
        change_id = f'change{next(self.ids)}'
        editor = TablesEditor(
            repository=self.repository,
            snapshot=None,
            clock=AutoAdvanceClock(),
            new_id=lambda: change_id,
        )
        try:
            outcome = await editor.apply('', f'# {who}', self.seen[who])
        except EditUnknownError:
            return
        except EditConflictError as exc:
            self.refused.add(change_id)
            self._learn(who, exc.theirs)
        except EditError:
            self.refused.add(change_id)
        else:
            self.accepted[change_id] = outcome.document.revision
            self._learn(who, outcome.document)

    def _learn(self, who: int, document: TablesDocument | None) -> None:
        if document is not None:
            self.seen[who] = document.revision


TestEditors = EditorsMachine.TestCase
TestEditors.settings = settings(max_examples=60, stateful_step_count=30)
