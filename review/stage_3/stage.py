"""Runs a case: store, workers and nodes, with the verdict as the exit code."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

from stage_3.http import Message, encode, exchange
from stage_3.machine import Network, Node
from stage_3.record import Record
from stage_3.store import Store
from stage_3.worker import CAPACITY, Work, Worker, short_work

HOST = 'refill.example'
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2
# For the whole case.
_MAX_S = 110
_SETTLE_S = 3


class Stage:
    """A small deployment: one store, and a node and a worker a machine."""

    def __init__(self, *, services: list[str], record: Record) -> None:
        """Create machines with workers of ``services``, one each."""
        self.record = record
        self.services = services
        self.network = Network(len(services))
        self.store = Store()
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        # Standard output of nodes by number.
        self.log_pipes: dict[int, int] = {}
        # Slots of the workers of a service, if not the usual ones.
        self.capacities: dict[str, int] = {}
        self._version = 1

    def configure(self, routes: list[dict[str, object]]) -> None:
        """Write the next configuration, as the operator does."""
        services = [
            {'name': name, 'maxConnections': 500, 'healthPath': '/healthz'}
            for name in dict.fromkeys(self.services)
        ]
        document = {
            'version': format(self._version, '08x'),
            'services': services,
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeoutMs': 10000,
                'idleTimeoutMs': 60000,
            },
            'virtualHosts': [{'host': HOST, 'paths': routes}],
        }
        self._version += 1
        self.store.put('op', 'config', json.dumps(document).encode())

    async def start(
        self, stack: AsyncExitStack, work: Work = short_work
    ) -> None:
        """Start everything and wait until it serves."""
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        await self._listen(
            stack, self.store.serve, self.network.address(0, 'store')
        )
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        for number, service in enumerate(self.services):
            node = Node(
                network=self.network,
                number=number,
                service=service,
                directory=directory,
                stdout=self.log_pipes.get(number),
            )
            worker = Worker(
                instance=f'i-{number}',
                service=service,
                address=self.network.address(number, 'app'),
                admin=node.admin,
                record=self.record,
                work=work,
                capacity=self.capacities.get(service, CAPACITY),
            )
            self.nodes.append(node)
            self.workers.append(worker)
            await self._listen(stack, worker.serve, worker.address)
            node.start()
            stack.callback(node.kill)
            ping = tasks.create_task(worker.ping_always())
            stack.callback(ping.cancel)
        for node in self.nodes:
            await node.wait_ready()
        await asyncio.sleep(_SETTLE_S)

    async def _listen(
        self,
        stack: AsyncExitStack,
        serve: Callable[..., Awaitable[None]],
        address: tuple[str, int],
    ) -> None:
        server = await asyncio.start_server(serve, *address, backlog=500)
        stack.callback(server.close)


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int = 5000,
    body: bytes = b'',
) -> bytes:
    """Return a client's request."""
    headers = {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
    }
    return encode(f'{method} {path} HTTP/1.1', headers, body)


async def send(
    record: Record,
    address: tuple[str, int],
    request_id: str,
    request: bytes,
    timeout_s: float = 8,
) -> Message | None:
    """Send a request on a new connection; None if it ends unanswered."""
    record.write('sent', request_id, '{}:{}'.format(*address))
    try:
        response = await exchange(address, request, timeout_s)
    except (OSError, asyncio.IncompleteReadError) as exc:
        record.write('unanswered', request_id, problem=type(exc).__name__)
        return None
    signature = response.get('response-signature')
    record.write(
        'answered', request_id, status=response.status, signature=signature
    )
    return response


def has_trouble() -> bool:
    """Return False if the case runs without its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    folder: str, case: Callable[[Record, AsyncExitStack], Awaitable[bool]]
) -> None:
    """Run a case, which returns whether the rule held, and exit."""
    record = Record(Path(folder) / 'record.txt')
    try:
        held = asyncio.run(_run(case, record))
    except BaseException as exc:
        traceback.print_exc()
        record.write('failed', 'case', problem=repr(exc))
        sys.exit(_NOT_RUN)
    record.write('verdict', 'held' if held else 'broken')
    print('the rule held' if held else 'the rule was broken')
    sys.exit(_HELD if held else _BROKEN)


async def _run(
    case: Callable[[Record, AsyncExitStack], Awaitable[bool]], record: Record
) -> bool:
    async with asyncio.timeout(_MAX_S), AsyncExitStack() as stack:
        return await case(record, stack)
