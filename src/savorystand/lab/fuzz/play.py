"""Plays runs of steps and reduces those that break a promise."""

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
from savorystand.lab.fuzz.rules import draw_steps
from savorystand.lab.fuzz.rules import play_step
from savorystand.lab.fuzz.virtual_time import StuckError
from savorystand.lab.fuzz.virtual_time import VirtualTimeLoop

if TYPE_CHECKING:
    from savorystand.lab.fuzz.oracle import Oracle

# Short runs are easy to reduce, and each ends with a search for leaks.
RUN_STEPS = 120


@final
@dataclass(slots=True, kw_only=True)
class Findings:
    """What a number of runs has shown."""

    seed: int
    steps: int = 0
    runs: int = 0
    seconds: float = 0
    counts: dict[str, int] = field(default_factory=dict)
    violations: list[dict[str, object]] = field(default_factory=list)


def play(seed: str, steps: list[Step]) -> Oracle:
    """Play steps on new nodes; the same arguments give the same run."""
    errors = logbook.TestHandler(level=logbook.ERROR, bubble=False)
    silent = logbook.NullHandler()
    with silent.applicationbound(), errors.applicationbound():
        oracle = anyio.run(
            _play,
            seed,
            steps,
            backend_options={'loop_factory': VirtualTimeLoop},
        )
    for record in errors.formatted_records:
        oracle.violations.append(f'exception: {record}')
    return oracle


async def _play(seed: str, steps: list[Step]) -> Oracle:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(seed=seed, tasks=tasks)
        try:
            await _play_steps(cluster, steps)
        except StuckError:
            cluster.oracle.violate('stuck', 'no task can go on')
        tasks.cancel_scope.cancel()
    return cluster.oracle


async def _play_steps(cluster: Cluster, steps: list[Step]) -> None:
    await cluster.start()
    for step in steps:
        await play_step(cluster, step)
        if cluster.oracle.violations:
            return
    await cluster.quiet()


def run_steps(seed: int, run: int, number: int = RUN_STEPS) -> list[Step]:
    """Return the steps of one run of a seed."""
    return draw_steps(random.Random(f'{seed} {run}'), number)


def fuzz(seed: int, number: int, *, most: int = 3) -> Findings:
    """Play ``number`` steps in runs; stop after ``most`` broken runs."""
    findings = Findings(seed=seed)
    began = time.monotonic()
    while findings.steps < number and len(findings.violations) < most:
        _fuzz_run(findings, min(RUN_STEPS, number - findings.steps))
    findings.seconds = time.monotonic() - began
    return findings


def _fuzz_run(findings: Findings, number: int) -> None:
    steps = run_steps(findings.seed, findings.runs, number)
    name = f'{findings.seed} {findings.runs}'
    oracle = play(name, steps)
    findings.runs += 1
    findings.steps += number
    for event, times in oracle.counts.items():
        findings.counts[event] = findings.counts.get(event, 0) + times
    if oracle.violations:
        first = oracle.violations[0]
        reduced = reduce_steps(name, steps, first)
        broken: dict[str, object] = {
            'run': name,
            'violation': first,
            'steps': [[step.rule, step.seed] for step in reduced],
        }
        findings.violations.append(broken)


def reduce_steps(
    seed: str,
    steps: list[Step],
    violation: str,
) -> list[Step]:
    """Remove steps while a violation of the same kind remains."""
    kind = violation.partition(':')[0]
    size = len(steps) // 2
    while size:
        position = 0
        while position < len(steps):
            shorter = steps[:position] + steps[position + size :]
            found = play(seed, shorter).violations
            if any(text.startswith(kind) for text in found):
                steps = shorter
            else:
                position += size
        size //= 2
    return steps
