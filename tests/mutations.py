"""Mutation tests: removes one rule at a time and lists the tests that fail.

Run as ``python -m tests.mutations``; it is not part of the test suite. Each
mutation is applied in memory only. The exit code is 1 if neither the fuzzer nor
the tests detect one of the mutations.
"""

from __future__ import annotations

import contextlib
import io
import multiprocessing
import sys
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest.mock import patch

import pytest
from expression import Error
from expression import Result

from savorystand.admission.drain_deadline import DrainDeadline
from savorystand.deduplication import claim_batch
from savorystand.deduplication.claim_rows import claim_from_row
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.key_registry import Run
from savorystand.deduplication.key_registry import RunNow
from savorystand.deduplication.key_registry import hash_request
from savorystand.deduplication.runner import KeyedRunner
from savorystand.gateway.target_client import TargetClient
from savorystand.lab.fuzz.runs import execute_run
from savorystand.lab.fuzz.runs import generate_run
from savorystand.retry.policy import INITIAL_RETRIES
from savorystand.retry.policy import RetryPolicy
from savorystand.store.items import Absent
from savorystand.store.items import Unchanged
from savorystand.tables.follower import TablesFollower
from savorystand.tables.holder import TablesHolder
from savorystand.tables.repository import TablesRepository
from savorystand.tables.repository import _head_put
from savorystand.tables.repository import _revision_put
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Iterator
    from multiprocessing.queues import SimpleQueue

_SEEDS = (1, 2, 3, 4)
_RUNS_PER_SEED = 30
_TEST_TIMEOUT_SECONDS = 30
_ORIGINAL_MAY_RETRY = RetryPolicy.may_retry


@dataclass(frozen=True)
class Mutation:
    """A rule that is removed by patches, and the tests that cover it."""

    rule: str
    tests: str
    patches: tuple[tuple[Any, str, Any], ...]


_ORIGINAL_SEND = TargetClient.send


async def _send_reporting_not_run(
    self: Any, call: Any, execution_id: str
) -> Any:
    outcome = await _ORIGINAL_SEND(self, call, execution_id)
    match outcome:
        case Result(tag='error', error=MayHaveRun(reason=reason)):
            return Error(NotRun(reason=reason))
        case _:
            return outcome


def _retry_downstream_failure(
    self: Any, route: Any, refusal: Any, retries_left: int
) -> bool:
    return _ORIGINAL_MAY_RETRY(
        self, route, replace(refusal, from_below=False), retries_left
    )


def _always_run(self: Any, record: Any, request_hash: bytes) -> Any:
    record.run = Run()
    self._running += 1
    return RunNow(record=record, run=record.run)


def _drop_without_watermark(self: Any, record: Any) -> None:
    del self._records[record.key]


def _claim_without_row(row: Any, **claim: Any) -> Any:
    return Claimed() if row is None else claim_from_row(row, **claim)


def _install_any_revision(self: Any, tables: Any) -> bool:
    self._current = tables
    for observer in self._observers:
        observer(tables)
    return True


async def _publish_unconditionally(
    self: Any, document: Any, *, base: Any
) -> None:
    puts = []
    for put in (
        _revision_put(document),
        _head_put(document, base),
    ):
        stored = await self._store.get(put.id)
        condition: Any = Absent()
        if stored is not None:
            condition = Unchanged(
                attribute='change_id', equals=stored['change_id']
            )
        puts.append(replace(put, condition=condition))
    await self._store.transact(puts, document.change_id)


async def _serve_any_issued(self: Any, call: Any, key: Any) -> Any:
    if not self.issuer.verify(key):
        return Error(NotRun(reason=Reason.KEY_REQUIRED))
    decision = self._registry.begin_issued(
        key, hash_request(call), call.attempt
    )
    return await self._apply_decision(call, decision)


def _always_not_run(
    reason: Reason, *, detail: str, no_earlier_run: bool
) -> NotRun:
    return NotRun(reason=reason, detail=detail)


_DEDUPLICATION_TESTS = 'tests/deduplication'
MUTATIONS = (
    Mutation(
        'retry bound: each hop has its own retry budget',
        'tests/dispatch/test_attempts.py',
        (
            (
                RetryPolicy,
                'retries_for_call',
                lambda _policy, _call: INITIAL_RETRIES,
            ),
            (RetryPolicy, 'may_retry', _retry_downstream_failure),
        ),
    ),
    Mutation(
        'truthful verdict: failures after the write count as not run',
        'tests/gateway',
        ((TargetClient, 'send', _send_reporting_not_run),),
    ),
    Mutation(
        'truthful verdict: unknown keys count as not run',
        _DEDUPLICATION_TESTS,
        (
            (
                sys.modules[KeyedRunner.__module__],
                'refuse_undispatched',
                _always_not_run,
            ),
        ),
    ),
    Mutation(
        'truthful verdict: keys of an earlier process count as unused',
        _DEDUPLICATION_TESTS,
        ((KeyedRunner, '_serve_issued', _serve_any_issued),),
    ),
    Mutation(
        'at most once: the registry is skipped',
        _DEDUPLICATION_TESTS,
        ((KeyRegistry, '_decide', _always_run),),
    ),
    Mutation(
        'at most once: dropped keys do not raise the low watermark',
        _DEDUPLICATION_TESTS,
        ((KeyRegistry, '_drop', _drop_without_watermark),),
    ),
    Mutation(
        'at most once: a claim without a row counts as claimed',
        _DEDUPLICATION_TESTS,
        ((claim_batch, 'claim_from_row', _claim_without_row),),
    ),
    Mutation(
        'leaving: targets accept calls after the drain deadline',
        'tests/admission',
        ((DrainDeadline, 'has_passed', lambda _deadline: False),),
    ),
    Mutation(
        'tables: lower revisions are installed',
        'tests/tables/test_follower.py',
        (
            (TablesHolder, 'install', _install_any_revision),
            (
                TablesFollower,
                'can_install',
                lambda follower, revision: revision != follower.revision(),
            ),
        ),
    ),
    Mutation(
        'tables: the editor ignores the conditions of writes',
        'tests/tables/test_editor.py',
        ((TablesRepository, 'publish', _publish_unconditionally),),
    ),
)


@contextlib.contextmanager
def _applied(mutation: Mutation) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in mutation.patches:
            stack.enter_context(patch.object(owner, name, replacement))
        yield


def _find_violation() -> str:
    for seed in _SEEDS:
        for run in range(_RUNS_PER_SEED):
            name = f'{seed} {run}'
            violations = execute_run(name, generate_run(seed, run)).violations
            if violations:
                kind = violations[0].partition(':')[0]
                return f'{kind} (seed {seed}, run {run})'
    return ''


class _FailureCollector:
    """Pytest plugin that collects the names of failed tests."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.names.add(report.nodeid.rpartition('::')[2])


def _run_tests(tests: str, names: SimpleQueue[str]) -> None:
    collector = _FailureCollector()
    arguments = ['-q', '-p', 'no:cacheprovider', tests]
    with contextlib.redirect_stdout(io.StringIO()):
        pytest.main(arguments, plugins=[collector])
    names.put(', '.join(sorted(collector.names)))


def _find_failed_tests(tests: str) -> str:
    # A forked child process inherits the mutation, and it can be killed if the
    # removed rule makes a test hang.
    fork_context = multiprocessing.get_context('fork')
    names = fork_context.SimpleQueue()
    child = fork_context.Process(target=_run_tests, args=(tests, names))
    child.start()
    child.join(_TEST_TIMEOUT_SECONDS)
    if child.is_alive():
        child.kill()
        return 'timeout'
    return 'crash' if names.empty() else names.get()


def main() -> int:
    """Print a table row for each mutation and return the exit code."""
    undetected = 0
    sys.stdout.write('| rule left out | fuzzer | tests |\n|---|---|---|\n')
    for mutation in MUTATIONS:
        with _applied(mutation):
            violation = _find_violation()
            failed_tests = _find_failed_tests(mutation.tests)
        undetected += not (violation or failed_tests)
        cells = (mutation.rule, violation or '-', failed_tests or '-')
        row = ' | '.join(cells)
        sys.stdout.write(f'| {row} |\n')
        sys.stdout.flush()
    return int(undetected > 0)


if __name__ == '__main__':
    sys.exit(main())
