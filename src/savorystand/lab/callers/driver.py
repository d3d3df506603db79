"""Runs caller processes and collects their records."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.callers.accounting import Record
from savorystand.lab.callers.plan import write_plan
from savorystand.lab.children import Child

if TYPE_CHECKING:
    from pathlib import Path

    from savorystand.lab.callers.plan import Plan

# Two processes send 500 requests per second with less than half a core each.
_PROCESS_COUNT = 2
# Time in which the processes start and fetch keys.
START_LEAD_MS = 2000
_EXTRA_WAIT_SECONDS = 15


class CallersError(Exception):
    """A caller process ended with an error or not in time."""


async def run_callers(plan: Plan, directory: Path) -> list[Record]:
    """Send the requests of a plan and return their outcomes.

    The records are sorted by intended time.

    Raises:
        CallersError: a process failed or did not end in time.
    """
    children: list[tuple[Child, Path]] = []
    try:
        for share in range(_PROCESS_COUNT):
            children.append(_start(plan, share, directory))
        return await _collect(plan, children)
    finally:
        for child, _ in children:
            child.kill()


def write_records(records: list[Record], path: Path) -> None:
    """Write records to a JSON file.

    Raises:
        OSError: the file cannot be written.
    """
    path.write_text(json.dumps([asdict(record) for record in records]))


def _start(plan: Plan, share: int, directory: Path) -> tuple[Child, Path]:
    name = f'callers-{int(plan.start_ms)}-{share}'
    plan_path = directory / f'{name}.plan.json'
    records_path = directory / f'{name}.records.json'
    write_plan(replace(plan, share=share, shares=_PROCESS_COUNT), plan_path)
    arguments = ['callers', str(plan_path), str(records_path)]
    child = Child(
        name=name,
        arguments=arguments,
        log=directory / f'{name}.log',
    )
    return child, records_path


async def _collect(
    plan: Plan, children: list[tuple[Child, Path]]
) -> list[Record]:
    timeout_seconds = (
        START_LEAD_MS + plan.duration_ms
    ) / MS_PER_SECOND + _EXTRA_WAIT_SECONDS
    records: list[Record] = []
    with anyio.move_on_after(timeout_seconds):
        for child, path in children:
            await child.wait(timeout_seconds)
            if child.exit_code != 0:
                raise CallersError(f'{child.name}: {child.log_text()}')
            records_json = json.loads(path.read_text())
            records.extend(Record(**row) for row in records_json)
    records.sort(key=lambda record: record.intended_ms)
    return records
