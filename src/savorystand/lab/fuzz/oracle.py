"""What has run at the targets, and what callers were told."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.lab.fuzz.virtual_time import loop_ms

if TYPE_CHECKING:
    from savorystand.tables.tables import Tables

# One attempt and the retries of the whole chain.
MAX_ATTEMPTS = 3
LEAVE_LIMIT_MS = 3000
# A request that was written in time still travels to the target.
_TRAVEL_MS = 20
_SHOWN_BYTES = 120
_BODY_SIZES = (1, 5, 50, 4000, 9000)


@final
@dataclass(slots=True, kw_only=True, eq=False)
class Operation:
    """What a caller wants to have done once, however often it sends it.

    A non-idempotent operation keeps its key; each send of an idempotent one
    is an operation of its own, since its verdict speaks of that send alone.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    key: str = ''
    sends: int = 0
    numbered: bool | None = None
    starts: int = 0
    not_run: bool = False
    answered: bool = False
    sending: bool = False

    def body(self) -> bytes:
        """Return the request's body."""
        size = random.Random(f'request {self.name}').choice(_BODY_SIZES)
        return f'{self.name};'.encode() * size

    def answer(self) -> bytes:
        """Return the content of the answer, which no other operation has."""
        size = random.Random(f'answer {self.name}').choice(_BODY_SIZES)
        return f'done {self.name};'.encode() * size


@final
@dataclass(slots=True, kw_only=True)
class Oracle:
    """Checks each event against the promises; collects violations."""

    violations: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    operations: dict[str, Operation] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    _attempts: dict[tuple[str, str], int] = field(default_factory=dict)
    _revisions: dict[str, int] = field(default_factory=dict)
    _accepted: dict[int, str] = field(default_factory=dict)

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{loop_ms():.1f} {text}')

    def count(self, name: str) -> None:
        """Count an event for the report."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def violate(self, kind: str, detail: str) -> None:
        """Record a violation."""
        self.note(f'VIOLATION {kind}: {detail}')
        self.violations.append(f'{kind}: {detail}')

    def attempt(self, name: str, path: str, request: str) -> None:
        """Check that a target sees a request not too often."""
        place = (request, path)
        self._attempts[place] = self._attempts.get(place, 0) + 1
        if self._attempts[place] > MAX_ATTEMPTS:
            self.violate('too many attempts', f'{name} at {path}')

    def start(self, name: str, where: str, leave_ms: float | None) -> None:
        """Check that an operation may start at a target.

        ``leave_ms`` is when that target left, if it did.
        """
        operation = self.operations[name]
        operation.starts += 1
        self.count('starts')
        self.note(f'start {name} at {where}')
        if not operation.idempotent and operation.starts > 1:
            self.violate('ran twice', name)
        if operation.not_run:
            self.violate('started after not-run', name)
        limit_ms = LEAVE_LIMIT_MS + _TRAVEL_MS
        if leave_ms is not None and loop_ms() > leave_ms + limit_ms:
            self.violate('started after leaving', f'{name} at {where}')

    def begin(self, operation: Operation) -> None:
        """Note that the caller sends an operation."""
        self.operations[operation.name] = operation
        operation.sends += 1
        operation.not_run = False
        self.count('sends')

    def end(
        self,
        operation: Operation,
        *,
        status: int,
        verdict: str,
        body: bytes,
    ) -> None:
        """Check what the caller is told."""
        self.count(verdict or 'no verdict')
        shown = body[:_SHOWN_BYTES]
        self.note(f'end {operation.name} {verdict} {status} {shown!r}')
        match verdict:
            case 'answered':
                operation.answered = True
                if body != operation.answer():
                    self.violate('wrong answer', f'{operation.name} {shown!r}')
                if not operation.starts:
                    self.violate('answer without a run', operation.name)
            case 'not-run':
                operation.not_run = True
                if operation.starts:
                    self.violate('false not-run', f'{operation.name} {shown!r}')
            case 'may-have-run':
                return
            case _:
                self.violate('no verdict', f'{operation.name}: {status}')

    def accept(self, revision: int, change_id: str) -> None:
        """Note that an editor was told that its change is accepted."""
        self.count('edits')
        known = self._accepted.setdefault(revision, change_id)
        if known != change_id:
            self.violate('two changes accepted', f'revision {revision}')

    def in_force(self, node: str, tables: Tables, stored: object) -> None:
        """Check a revision that comes into force; ``stored`` is its id."""
        before = self._revisions.get(node, 0)
        self._revisions[node] = tables.revision
        self.note(f'{node} has revision {tables.revision}')
        if tables.revision <= before:
            detail = f'{node}: {before} to {tables.revision}'
            self.violate('revision went back', detail)
        accepted = self._accepted.get(tables.revision, tables.change_id)
        if {accepted, stored} != {tables.change_id}:
            detail = f'{node}: {tables.revision} {tables.change_id}'
            self.violate('revision not accepted', detail)
