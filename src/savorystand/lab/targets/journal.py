"""What targets have executed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import chain
from typing import TypeAlias
from typing import final

# Executions of each operation, by route match.
Counts: TypeAlias = dict[str, dict[str, int]]


@final
@dataclass(slots=True, kw_only=True)
class Execution:
    """One execution of an operation; times in ms, ``end_ms`` 0 if running."""

    target: str
    route: str
    operation: str
    key: str
    request_id: str
    start_ms: float
    end_ms: float = 0
    cancelled: bool = False


class ExecutionJournal:
    """Executions of the targets of one process."""

    __slots__ = ('_executions',)

    def __init__(self) -> None:
        """Start with no execution."""
        self._executions: list[Execution] = []

    def begin(self, execution: Execution) -> Execution:
        """Record that an execution starts."""
        self._executions.append(execution)
        return execution

    def counts(self) -> Counts:
        """Return the executions of each operation, by route.

        A cancelled execution counts: its effects may have happened.
        """
        counts: dict[str, Counter[str]] = {}
        for execution in self._executions:
            route = counts.setdefault(execution.route, Counter())
            route[execution.operation] += 1
        return {route: dict(counter) for route, counter in counts.items()}

    def last_starts(self) -> dict[str, float]:
        """Return when each target last started an execution, in ms."""
        return {
            execution.target: execution.start_ms
            for execution in self._executions
        }

    def cancelled(self) -> int:
        """Return the number of executions that were cancelled."""
        return sum(execution.cancelled for execution in self._executions)

    def clear(self) -> None:
        """Forget all executions."""
        self._executions.clear()


def merge_counts(parts: list[Counts]) -> Counts:
    """Add the counts of several processes."""
    merged: dict[str, Counter[str]] = {}
    for part in parts:
        for route, counts in part.items():
            merged.setdefault(route, Counter()).update(counts)
    return {name: dict(counter) for name, counter in merged.items()}


def duplicates(counts: Counts, routes: frozenset[str]) -> int:
    """Return the executions beyond the first of each operation.

    Only ``routes`` count: those that are not idempotent.
    """
    numbers = [counts.get(route, {}).values() for route in routes]
    return sum(number - 1 for number in chain.from_iterable(numbers))
