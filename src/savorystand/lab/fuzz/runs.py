"""Executes runs of random steps and reduces those that find a violation."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import final

import anyio
import logbook

from savorystand.lab.fuzz.cluster import Cluster
from savorystand.lab.fuzz.rules import Step
from savorystand.lab.fuzz.rules import execute_step
from savorystand.lab.fuzz.rules import generate_steps
from savorystand.lab.fuzz.virtual_time import DeadlockError
from savorystand.lab.fuzz.virtual_time import VirtualTimeLoop

if TYPE_CHECKING:
    from savorystand.lab.fuzz.oracle import Oracle

# Short runs are easy to reduce, and each ends with a check for leaks.
RUN_STEPS = 120


@final
@dataclass(slots=True, kw_only=True)
class Findings:
    """The counted events and the violations of a series of runs."""

    seed: int
    steps: int = 0
    runs: int = 0
    seconds: float = 0
    counts: dict[str, int] = field(default_factory=dict)
    violations: list[dict[str, object]] = field(default_factory=list)


def execute_run(seed: str, steps: list[Step]) -> Oracle:
    """Execute steps on new nodes; the same arguments give the same run."""
    errors = logbook.TestHandler(level=logbook.ERROR, bubble=False)
    ignored = logbook.NullHandler()
    with ignored.applicationbound(), errors.applicationbound():
        oracle = anyio.run(
            _execute_run,
            seed,
            steps,
            backend_options={'loop_factory': VirtualTimeLoop},
        )
    for record in errors.formatted_records:
        oracle.violations.append(f'exception: {record}')
    return oracle


async def _execute_run(seed: str, steps: list[Step]) -> Oracle:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(seed=seed, tasks=tasks)
        try:
            await _execute_steps(cluster, steps)
        except DeadlockError:
            cluster.oracle.add_violation(
                'stuck', 'all tasks wait and no timer is set'
            )
        tasks.cancel_scope.cancel()
    return cluster.oracle


async def _execute_steps(cluster: Cluster, steps: list[Step]) -> None:
    await cluster.start()
    for step in steps:
        await execute_step(cluster, step)
        if cluster.oracle.violations:
            return
    await cluster.check_recovery()


def generate_run(seed: int, run: int, count: int = RUN_STEPS) -> list[Step]:
    """Return the random steps of run number ``run`` of a seed."""
    return generate_steps(random.Random(f'{seed} {run}'), count)


def fuzz(seed: int, count: int, *, max_violations: int = 3) -> Findings:
    """Execute ``count`` steps, divided into runs of ``RUN_STEPS``.

    Stop early after ``max_violations`` runs with a violation.
    """
    findings = Findings(seed=seed)
    started = time.monotonic()
    while findings.steps < count and len(findings.violations) < max_violations:
        _fuzz_run(findings, min(RUN_STEPS, count - findings.steps))
    findings.seconds = time.monotonic() - started
    return findings


def _fuzz_run(findings: Findings, count: int) -> None:
    steps = generate_run(findings.seed, findings.runs, count)
    name = f'{findings.seed} {findings.runs}'
    oracle = execute_run(name, steps)
    findings.runs += 1
    findings.steps += count
    for event, event_count in oracle.counts.items():
        findings.counts[event] = findings.counts.get(event, 0) + event_count
    if oracle.violations:
        first = oracle.violations[0]
        reduced = reduce_steps(name, steps, first)
        report: dict[str, object] = {
            'run': name,
            'violation': first,
            'steps': [[step.rule, step.seed] for step in reduced],
        }
        findings.violations.append(report)


def reduce_steps(
    seed: str,
    steps: list[Step],
    violation: str,
) -> list[Step]:
    """Return fewer steps that still cause a violation of the same kind.

    Tries to remove ever smaller groups of consecutive steps.
    """
    kind = violation.partition(':')[0]
    size = len(steps) // 2
    while size:
        position = 0
        while position < len(steps):
            candidate = steps[:position] + steps[position + size :]
            violations = execute_run(seed, candidate).violations
            if any(found.startswith(kind) for found in violations):
                steps = candidate
            else:
                position += size
        size //= 2
    return steps
