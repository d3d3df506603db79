"""Records the executions of stand-in targets."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import chain
from typing import TypeAlias
from typing import final

# Number of executions of each operation, by route match.
Counts: TypeAlias = dict[str, dict[str, int]]


@final
@dataclass(slots=True, kw_only=True)
class Execution:
    """One execution of an operation.

    Times are in ms of the monotonic clock; ``end_ms`` is 0 unless the
    execution has completed.
    """

    target: str
    route: str
    operation: str
    key: str
    request_id: str
    start_ms: float
    end_ms: float = 0
    cancelled: bool = False


class ExecutionJournal:
    """Records the executions of all targets of one process."""

    __slots__ = ('_executions',)

    def __init__(self) -> None:
        """Create an empty journal."""
        self._executions: list[Execution] = []

    def begin(self, execution: Execution) -> Execution:
        """Record the start of an execution and return it."""
        self._executions.append(execution)
        return execution

    def counts(self) -> Counts:
        """Return the number of executions of each operation, by route.

        Cancelled executions count, because their effects may have happened.
        """
        counts: dict[str, Counter[str]] = {}
        for execution in self._executions:
            route = counts.setdefault(execution.route, Counter())
            route[execution.operation] += 1
        return {route: dict(counter) for route, counter in counts.items()}

    def last_starts(self) -> dict[str, float]:
        """Return the start time of each target's last execution, in ms."""
        return {
            execution.target: execution.start_ms
            for execution in self._executions
        }

    def cancelled(self) -> int:
        """Return the number of executions that were cancelled."""
        return sum(execution.cancelled for execution in self._executions)

    def clear(self) -> None:
        """Remove all executions."""
        self._executions.clear()


def merge_counts(parts: list[Counts]) -> Counts:
    """Return the summed counts of several processes."""
    merged: dict[str, Counter[str]] = {}
    for part in parts:
        for route, counts in part.items():
            merged.setdefault(route, Counter()).update(counts)
    return {name: dict(counter) for name, counter in merged.items()}


def duplicates(counts: Counts, routes: frozenset[str]) -> int:
    """Return the number of executions beyond the first of each operation.

    Only the non-idempotent routes given in ``routes`` are counted.
    """
    numbers = [counts.get(route, {}).values() for route in routes]
    return sum(number - 1 for number in chain.from_iterable(numbers))
