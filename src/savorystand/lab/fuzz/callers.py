"""Callers who send operations, wait, and learn a verdict."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.gateway import headers as header_names
from savorystand.lab.fuzz.http import Exchange
from savorystand.lab.fuzz.target import OPERATION
from savorystand.lab.fuzz.target import REQUEST

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savorystand.call import Headers
    from savorystand.lab.fuzz.network import Fabric
    from savorystand.lab.fuzz.node import FuzzNode
    from savorystand.lab.fuzz.oracle import Operation
    from savorystand.lab.fuzz.oracle import Oracle

_DEADLINES_MS = (60, 400, 2000, 10000)
_POLL_SECONDS = 0.01
_DECLARED_SHARE = 0.7
_NEW_KEY_SHARE = 0.5


@final
class Callers:
    """Sends operations, each at most once at a time."""

    def __init__(
        self, *, oracle: Oracle, fabric: Fabric, tasks: TaskGroup
    ) -> None:
        """Tell ``oracle`` of each verdict."""
        self._oracle = oracle
        self._fabric = fabric
        self._tasks = tasks
        self.open: dict[Exchange, Operation] = {}

    def call(
        self, operation: Operation, node: FuzzNode, rng: random.Random
    ) -> None:
        """Send an operation to a node."""
        operation.sending = True
        child = random.Random(rng.random())
        self._tasks.start_soon(self._call, operation, node, child)

    async def _call(
        self, operation: Operation, node: FuzzNode, rng: random.Random
    ) -> None:
        self._oracle.begin(operation)
        request = f'{operation.name}/{operation.sends}'
        self._oracle.note(f'send {request} to {node.node_id} {operation.key}')
        exchange = Exchange(
            method=operation.method,
            path=operation.path,
            headers=_headers(operation, request, rng),
            body=operation.body(),
        )
        self.open[exchange] = operation
        node.serve(exchange, from_target=False)
        await exchange.done.wait()
        while node.host in self._fabric.paused:
            await anyio.sleep(_POLL_SECONDS)
        del self.open[exchange]
        operation.sending = False
        self._end(operation, exchange, rng)

    def _end(
        self, operation: Operation, exchange: Exchange, rng: random.Random
    ) -> None:
        if not exchange.status:
            self._oracle.note(f'lost {operation.name}')
            return
        verdict = exchange.header(header_names.VERDICT)
        self._oracle.end(
            operation,
            status=exchange.status,
            verdict=verdict,
            body=exchange.answer,
        )
        # Only after not-run may a caller send the operation with another key.
        offered = exchange.header(header_names.IDEMPOTENCY_KEY)
        if offered and verdict == 'not-run' and not operation.idempotent:
            if not operation.key or rng.random() < _NEW_KEY_SHARE:
                operation.key = offered


def _headers(operation: Operation, request: str, rng: random.Random) -> Headers:
    headers = [
        (OPERATION, operation.name),
        (REQUEST, request),
        (header_names.DEADLINE, str(rng.choice(_DEADLINES_MS))),
    ]
    if operation.key:
        headers.append((header_names.IDEMPOTENCY_KEY, operation.key))
    if operation.numbered is None:
        operation.numbered = rng.random() < _DECLARED_SHARE
    if operation.numbered:
        headers.append((header_names.ATTEMPT, str(operation.sends)))
    return tuple(headers)
