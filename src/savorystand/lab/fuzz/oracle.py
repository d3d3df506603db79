"""Checks what ran at the targets against what callers were told."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

from savorystand.lab.fuzz.virtual_time import loop_ms

if TYPE_CHECKING:
    from savorystand.tables.tables import Tables

# The first attempt and the retries that the whole chain of calls shares.
MAX_ATTEMPTS = 3
MAX_START_AFTER_LEAVE_MS = 3000
# A request that the node sent in time still has to reach the target.
_TRANSIT_MS = 20
_MAX_SHOWN_BYTES = 120
_BODY_SIZES = (1, 5, 50, 4000, 9000)


@final
@dataclass(slots=True, kw_only=True, eq=False)
class Operation:
    """A unit of work that is to run once, however often it is sent.

    A non-idempotent operation is sent again with the same key, or with another
    key after the verdict not-run. An idempotent one is sent once: each send is
    a separate operation, since a verdict without a key concerns that send
    alone. ``sends_attempt_number`` is chosen at the first send, None before.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    key: str = ''
    sends: int = 0
    sends_attempt_number: bool | None = None
    starts: int = 0
    not_run: bool = False
    answered: bool = False
    in_progress: bool = False

    def request_body(self) -> bytes:
        """Return the body of the request."""
        size = random.Random(f'request {self.name}').choice(_BODY_SIZES)
        return f'{self.name};'.encode() * size

    def response_body(self) -> bytes:
        """Return the expected response body, unique to this operation."""
        size = random.Random(f'answer {self.name}').choice(_BODY_SIZES)
        return f'done {self.name};'.encode() * size


@final
@dataclass(slots=True, kw_only=True)
class Oracle:
    """Checks each event against the guarantees and collects violations."""

    violations: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    operations: dict[str, Operation] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    _attempts: dict[tuple[str, str], int] = field(default_factory=dict)
    _revisions: dict[str, int] = field(default_factory=dict)
    _accepted: dict[int, str] = field(default_factory=dict)

    def add_trace(self, text: str) -> None:
        """Add a line with the current time to the trace."""
        self.trace.append(f'{loop_ms():.1f} {text}')

    def count(self, name: str) -> None:
        """Count an event for the findings."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def add_violation(self, kind: str, detail: str) -> None:
        """Record a violation of a guarantee."""
        self.add_trace(f'VIOLATION {kind}: {detail}')
        self.violations.append(f'{kind}: {detail}')

    def check_attempt(self, name: str, path: str, request: str) -> None:
        """Count an attempt of a request; one too many is a violation."""
        attempt_key = (request, path)
        self._attempts[attempt_key] = self._attempts.get(attempt_key, 0) + 1
        if self._attempts[attempt_key] > MAX_ATTEMPTS:
            self.add_violation('too many attempts', f'{name} at {path}')

    def check_start(
        self, name: str, target: str, leave_ms: float | None
    ) -> None:
        """Check that an operation may start at a target.

        ``leave_ms`` is the time at which that target left, None if it did not.
        """
        operation = self.operations[name]
        operation.starts += 1
        self.count('starts')
        self.add_trace(f'start {name} at {target}')
        if not operation.idempotent and operation.starts > 1:
            self.add_violation('ran twice', name)
        if operation.not_run:
            self.add_violation('started after not-run', name)
        allowed_ms = MAX_START_AFTER_LEAVE_MS + _TRANSIT_MS
        if leave_ms is not None and loop_ms() > leave_ms + allowed_ms:
            self.add_violation('started after leaving', f'{name} at {target}')

    def record_send(self, operation: Operation) -> None:
        """Record that a caller sends an operation."""
        self.operations[operation.name] = operation
        operation.sends += 1
        operation.not_run = False
        self.count('sends')

    def check_verdict(
        self,
        operation: Operation,
        *,
        status: int,
        verdict: str,
        body: bytes,
    ) -> None:
        """Check the response of an operation against its runs so far."""
        self.count(verdict or 'no verdict')
        shown = body[:_MAX_SHOWN_BYTES]
        self.add_trace(f'end {operation.name} {verdict} {status} {shown!r}')
        match verdict:
            case 'answered':
                operation.answered = True
                if body != operation.response_body():
                    self.add_violation(
                        'wrong answer', f'{operation.name} {shown!r}'
                    )
                if not operation.starts:
                    self.add_violation('answer without a run', operation.name)
            case 'not-run':
                operation.not_run = True
                if operation.starts:
                    self.add_violation(
                        'false not-run', f'{operation.name} {shown!r}'
                    )
            case 'may-have-run':
                return
            case _:
                self.add_violation('no verdict', f'{operation.name}: {status}')

    def record_edit(self, revision: int, change_id: str) -> None:
        """Record an edit that was reported as accepted.

        A second change accepted as the same revision is a violation.
        """
        self.count('edits')
        known = self._accepted.setdefault(revision, change_id)
        if known != change_id:
            self.add_violation('two changes accepted', f'revision {revision}')

    def check_revision(
        self, node: str, tables: Tables, stored_change_id: object
    ) -> None:
        """Check tables that come into force on a node.

        ``stored_change_id`` is the change id that the store has for the
        revision.
        """
        previous = self._revisions.get(node, 0)
        self._revisions[node] = tables.revision
        self.add_trace(f'{node} has revision {tables.revision}')
        if tables.revision <= previous:
            detail = f'{node}: {previous} to {tables.revision}'
            self.add_violation('revision went back', detail)
        accepted = self._accepted.get(tables.revision, tables.change_id)
        if {accepted, stored_change_id} != {tables.change_id}:
            detail = f'{node}: {tables.revision} {tables.change_id}'
            self.add_violation('revision not accepted', detail)
