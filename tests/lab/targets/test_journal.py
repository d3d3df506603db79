"""Failures: an operation executed twice is not reported."""

from __future__ import annotations

from savorystand.lab.targets.journal import Execution
from savorystand.lab.targets.journal import ExecutionJournal
from savorystand.lab.targets.journal import duplicates
from savorystand.lab.targets.journal import merge_counts


def _run(journal: ExecutionJournal, operation: str, route: str) -> Execution:
    return journal.begin(
        Execution(
            target='t',
            route=route,
            operation=operation,
            key='',
            request_id='',
            start_ms=0,
        ),
    )


def test_second_execution_is_a_duplicate_in_any_process() -> None:
    """Executions in two processes add up, cancelled ones included."""
    first = ExecutionJournal()
    second = ExecutionJournal()
    _run(first, 'a', 'POST /charge').cancelled = True
    _run(first, 'b', 'POST /charge')
    _run(first, 'a', 'GET /rates')
    _run(second, 'a', 'GET /rates')
    _run(second, 'a', 'POST /charge')
    counts = merge_counts([first.counts(), second.counts()])
    assert duplicates(counts, frozenset(('POST /charge',))) == 1
    assert duplicates(first.counts(), frozenset(('POST /charge',))) == 0
