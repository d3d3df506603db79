"""Removes one rule at a time and lists which tests notice.

Run as ``python -m tests.mutations``; it is not part of the normal tests. Each
mutation is made in memory. The exit code is 1 if nothing notices one.
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
_RUNS = 30
_TEST_SECONDS = 30
_MAY_RETRY = RetryPolicy.may_retry


@dataclass(frozen=True)
class Mutation:
    """A rule that is left out, and the tests that concern it."""

    rule: str
    tests: str
    patches: tuple[tuple[Any, str, Any], ...]


_send = TargetClient.send


async def _written_late(self: Any, call: Any, execution_id: str) -> Any:
    outcome = await _send(self, call, execution_id)
    match outcome:
        case Result(tag='error', error=MayHaveRun(reason=reason)):
            return Error(NotRun(reason=reason))
        case _:
            return outcome


def _retry_below(
    self: Any, route: Any, refusal: Any, retries_left: int
) -> bool:
    return _MAY_RETRY(
        self, route, replace(refusal, from_below=False), retries_left
    )


def _run_anyway(self: Any, record: Any, mark: bytes) -> Any:
    record.run = Run()
    self._running += 1
    return RunNow(record=record, run=record.run)


def _drop_silently(self: Any, record: Any) -> None:
    del self._records[record.key]


def _claim_unknown(row: Any, **claim: Any) -> Any:
    return Claimed() if row is None else claim_from_row(row, **claim)


def _install(self: Any, tables: Any) -> bool:
    self._current = tables
    for observer in self._observers:
        observer(tables)
    return True


async def _publish(self: Any, document: Any, *, base: Any) -> None:
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


async def _serve_issued(self: Any, call: Any, key: Any) -> Any:
    if not self.issuer.verify(key):
        return Error(NotRun(reason=Reason.KEY_REQUIRED))
    decision = self._registry.begin_issued(
        key, hash_request(call), call.attempt
    )
    return await self._apply_decision(call, decision)


def _deny(reason: Reason, *, detail: str, no_earlier_run: bool) -> NotRun:
    return NotRun(reason=reason, detail=detail)


_KEYS = 'tests/deduplication'
MUTATIONS = (
    Mutation(
        'retry bound: each hop retries with a budget of its own',
        'tests/dispatch/test_attempts.py',
        (
            (
                RetryPolicy,
                'retries_for_call',
                lambda _policy, _left: INITIAL_RETRIES,
            ),
            (RetryPolicy, 'may_retry', _retry_below),
        ),
    ),
    Mutation(
        'truthful verdict: point of no return after the write',
        'tests/gateway',
        ((TargetClient, 'send', _written_late),),
    ),
    Mutation(
        'truthful verdict: unknown keys are denied',
        _KEYS,
        ((sys.modules[KeyedRunner.__module__], 'refuse_undispatched', _deny),),
    ),
    Mutation(
        'truthful verdict: keys of an earlier process are denied',
        _KEYS,
        ((KeyedRunner, '_serve_issued', _serve_issued),),
    ),
    Mutation(
        'at most once: the registry is skipped',
        _KEYS,
        ((KeyRegistry, '_decide', _run_anyway),),
    ),
    Mutation(
        'at most once: the low-water mark is ignored',
        _KEYS,
        ((KeyRegistry, '_drop', _drop_silently),),
    ),
    Mutation(
        'at most once: a lost claim answer counts as claimed',
        _KEYS,
        ((claim_batch, 'claim_from_row', _claim_unknown),),
    ),
    Mutation(
        'leaving: targets accept work for ever',
        'tests/admission',
        ((DrainDeadline, 'has_passed', lambda _deadline: False),),
    ),
    Mutation(
        'tables: lower revisions are installed',
        'tests/tables/test_follower.py',
        (
            (TablesHolder, 'install', _install),
            (
                TablesFollower,
                'wants',
                lambda follower, number: number != follower.revision(),
            ),
        ),
    ),
    Mutation(
        'tables: the editor ignores the condition',
        'tests/tables/test_editor.py',
        ((TablesRepository, 'publish', _publish),),
    ),
)


@contextlib.contextmanager
def _made(mutation: Mutation) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, name, mutant in mutation.patches:
            stack.enter_context(patch.object(owner, name, mutant))
        yield


def _fuzzed() -> str:
    for seed in _SEEDS:
        for run in range(_RUNS):
            name = f'{seed} {run}'
            violations = execute_run(name, generate_run(seed, run)).violations
            if violations:
                kind = violations[0].partition(':')[0]
                return f'{kind} (seed {seed}, run {run})'
    return ''


class _Failures:
    """Collects the names of failed tests."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.names.add(report.nodeid.rpartition('::')[2])


def _run_tests(tests: str, names: SimpleQueue[str]) -> None:
    failures = _Failures()
    arguments = ['-q', '-p', 'no:cacheprovider', tests]
    with contextlib.redirect_stdout(io.StringIO()):
        pytest.main(arguments, plugins=[failures])
    names.put(', '.join(sorted(failures.names)))


def _tested(tests: str) -> str:
    # A forked child keeps the mutation; a rule left out may hang a test.
    forking = multiprocessing.get_context('fork')
    names = forking.SimpleQueue()
    child = forking.Process(target=_run_tests, args=(tests, names))
    child.start()
    child.join(_TEST_SECONDS)
    if child.is_alive():
        child.kill()
        return 'no end'
    return 'crash' if names.empty() else names.get()


def main() -> int:
    """Print a row of a table for each mutation."""
    unnoticed = 0
    sys.stdout.write('| rule left out | fuzzer | tests |\n|---|---|---|\n')
    for mutation in MUTATIONS:
        with _made(mutation):
            fuzzed = _fuzzed()
            tested = _tested(mutation.tests)
        unnoticed += not (fuzzed or tested)
        cells = (mutation.rule, fuzzed or '-', tested or '-')
        row = ' | '.join(cells)
        sys.stdout.write(f'| {row} |\n')
        sys.stdout.flush()
    return int(unnoticed > 0)


if __name__ == '__main__':
    sys.exit(main())
