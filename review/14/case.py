"""A ping of another writer names a service that there isn't."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

from stage_3.record import Record
from stage_3.stage import Stage, has_trouble, request_bytes, run_case, send

ROUTES = [
    {
        'name': 'bin-level',
        'prefix': '/bins/',
        'service': 'binwatch',
        'routeKind': 'safe',
        'timeoutMs': 5000,
        'targetLatencyMs': 1200,
        'priority': 2,
        'maxAttempts': 3,
    },
    {
        'name': 'refill-confirm',
        'prefix': '/refill/',
        'service': 'refill',
        'routeKind': 'non_idempotent',
        'timeoutMs': 5000,
        'targetLatencyMs': 1500,
        'priority': 0,
        'maxAttempts': 3,
    },
]
# The service of the machine at which all requests begin.
_OWN = 'refill'
_REQUESTS = 200
_GAP_S = 0.1
_PING_AFTER = 50


async def case(record: Record, stack: AsyncExitStack) -> bool:
    """Return False if a worker ran a request with a wrong Caller-Service."""
    stage = Stage(
        services=[_OWN, 'refill', 'binwatch', 'binwatch'], record=record
    )
    stage.configure(ROUTES)
    await stage.start(stack)
    worker = stage.workers[0]
    async with asyncio.TaskGroup() as tasks:
        for number in range(_REQUESTS):
            if number == _PING_AFTER and has_trouble():
                await _post_foreign_ping(record, worker)
            path, method = (
                ('/bins/7', 'GET') if number % 2 else ('/refill/7', 'POST')
            )
            request_id = f'r{number:04}'
            request = request_bytes(method, path, request_id)
            address = stage.nodes[0].outbound
            tasks.create_task(send(record, address, request_id, request))
            await asyncio.sleep(_GAP_S)
    runs = record.of('run')
    wrong = [run for run in runs if run.details['caller'] != _OWN]
    record.write('counted', 'runs', all=len(runs), wrong_caller=len(wrong))
    return not wrong


async def _post_foreign_ping(record: Record, worker) -> None:
    # Like a ping of the worker, but from another writer: with an id of its own
    # and a service that is not in the configuration.
    fields = {**worker.fields(), 'service': 'depot-archive', 'sequence': 1}
    fields['born'] = worker.born + 1000
    is_acknowledged = await worker.post_ping('i-foreign', fields)
    record.write('foreign-ping', 'i-foreign', acknowledged=is_acknowledged)


if __name__ == '__main__':
    run_case(str(Path(__file__).parent), case)
