"""A client's long Request-Id, while the machine of other clients is stopped."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import AsyncExitStack
from pathlib import Path

from stage_3.lost import cut_requests
from stage_3.record import Record
from stage_3.routes import route
from stage_3.stage import Stage, has_trouble, request_bytes, run_case, send

_LIMIT_MS = 5000
_ORDERS = 40
_WORK_S = 2.0
# 130 bytes, far below the maxHeaderBytes of the configuration.
_LONG_ID = f'9c41d07be2a35f68-{"suva-depot-clerk-7-" * 6}'[:130]


async def _work(request) -> tuple[int, bytes]:
    await asyncio.sleep(_WORK_S)
    return 200, b'done'


async def case(record: Record, stack: AsyncExitStack) -> bool:
    """Return False if orders are cut after the SIGTERM."""
    stage = Stage(services=['binwatch', 'refill', 'refill'], record=record)
    stage.configure([route('refill', 'refill', 'non_idempotent')])
    await stage.start(stack, _work)
    node = stage.nodes[0]
    ids = [f'order{number:03}' for number in range(_ORDERS)]
    long_id = has_trouble() and os.environ.get('LONG_ID', '1') != '0'
    other_id = _LONG_ID if long_id else 'other'
    async with asyncio.TaskGroup() as tasks:
        for request_id in ids:
            request = request_bytes(
                'POST', '/refill/1', request_id, deadline_ms=_LIMIT_MS
            )
            tasks.create_task(send(record, node.outbound, request_id, request))
            await asyncio.sleep(0.01)
        signal_at = record.now()
        if has_trouble():
            node.send(signal.SIGTERM)
            record.write('SIGTERM', 'node-0')
        await asyncio.sleep(0.5)
        # A client that came before the platform has seen two misses.
        for _ in range(2):
            request = request_bytes('POST', '/refill/2', other_id)
            await send(record, node.outbound, other_id, request, 3)
    cut = cut_requests(record, ids, signal_at, _LIMIT_MS / 1000)
    answered = [
        entry
        for entry in record.of('answered')
        if entry.subject in ids and entry.details['signature']
    ]
    record.write('counted', 'orders', answered=len(answered), cut=len(cut))
    if not has_trouble() and len(answered) < len(ids):
        raise RuntimeError('orders fail without the disruption')
    return not cut


if __name__ == '__main__':
    run_case(str(Path(__file__).parent), case)
