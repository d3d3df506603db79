"""Guards against duplicate executions that the journal does not report.

The two executions of an operation can run in targets of different processes,
and the first can have been cancelled.
"""

from __future__ import annotations

from savorystand.lab.targets.journal import Execution
from savorystand.lab.targets.journal import ExecutionJournal
from savorystand.lab.targets.journal import duplicates
from savorystand.lab.targets.journal import merge_counts


def _begin(journal: ExecutionJournal, operation: str, route: str) -> Execution:
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
    """Executions of all processes count, including cancelled ones."""
    first = ExecutionJournal()
    second = ExecutionJournal()
    _begin(first, 'a', 'POST /charge').cancelled = True
    _begin(first, 'b', 'POST /charge')
    _begin(first, 'a', 'GET /rates')
    _begin(second, 'a', 'GET /rates')
    _begin(second, 'a', 'POST /charge')
    counts = merge_counts([first.counts(), second.counts()])
    assert duplicates(counts, frozenset(('POST /charge',))) == 1
    assert duplicates(first.counts(), frozenset(('POST /charge',))) == 0
