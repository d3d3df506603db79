"""Simulated callers that send operations and check the verdicts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.gateway import headers as header_names
from savorystand.lab.fuzz.http import Exchange
from savorystand.lab.fuzz.target import OPERATION_HEADER
from savorystand.lab.fuzz.target import REQUEST_HEADER

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savorystand.call import Headers
    from savorystand.lab.fuzz.network import Fabric
    from savorystand.lab.fuzz.node import FuzzNode
    from savorystand.lab.fuzz.oracle import Operation
    from savorystand.lab.fuzz.oracle import Oracle

_DEADLINES_MS = (60, 400, 2000, 10000)
_POLL_INTERVAL_SECONDS = 0.01
_ATTEMPT_HEADER_PROBABILITY = 0.7
_NEW_KEY_PROBABILITY = 0.5


@final
class Callers:
    """Sends operations; each has at most one request in progress."""

    def __init__(
        self, *, oracle: Oracle, fabric: Fabric, tasks: TaskGroup
    ) -> None:
        """Report each send and each verdict to ``oracle``."""
        self._oracle = oracle
        self._fabric = fabric
        self._tasks = tasks
        self.pending: dict[Exchange, Operation] = {}

    def call(
        self, operation: Operation, node: FuzzNode, rng: random.Random
    ) -> None:
        """Start a request for an operation to ``node``."""
        operation.in_progress = True
        call_rng = random.Random(rng.random())
        self._tasks.start_soon(self._call, operation, node, call_rng)

    async def _call(
        self, operation: Operation, node: FuzzNode, rng: random.Random
    ) -> None:
        self._oracle.record_send(operation)
        request = f'{operation.name}/{operation.sends}'
        self._oracle.add_trace(
            f'send {request} to {node.node_id} {operation.key}'
        )
        exchange = Exchange(
            method=operation.method,
            path=operation.path,
            headers=_request_headers(operation, request, rng),
            body=operation.request_body(),
        )
        self.pending[exchange] = operation
        node.serve(exchange, from_target=False)
        await exchange.done.wait()
        # The response of a paused node arrives once the node resumes.
        while node.host in self._fabric.paused_hosts:
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
        del self.pending[exchange]
        operation.in_progress = False
        self._record_verdict(operation, exchange, rng)

    def _record_verdict(
        self, operation: Operation, exchange: Exchange, rng: random.Random
    ) -> None:
        if not exchange.status:
            self._oracle.add_trace(f'lost {operation.name}')
            return
        verdict = exchange.response_header(header_names.VERDICT)
        self._oracle.check_verdict(
            operation,
            status=exchange.status,
            verdict=verdict,
            body=exchange.response_body,
        )
        # Only after not-run may a caller send the operation with another key.
        issued_key = exchange.response_header(header_names.IDEMPOTENCY_KEY)
        if issued_key and verdict == 'not-run' and not operation.idempotent:
            if not operation.key or rng.random() < _NEW_KEY_PROBABILITY:
                operation.key = issued_key


def _request_headers(
    operation: Operation, request: str, rng: random.Random
) -> Headers:
    headers = [
        (OPERATION_HEADER, operation.name),
        (REQUEST_HEADER, request),
        (header_names.DEADLINE, str(rng.choice(_DEADLINES_MS))),
    ]
    if operation.key:
        headers.append((header_names.IDEMPOTENCY_KEY, operation.key))
    if operation.sends_attempt_number is None:
        operation.sends_attempt_number = (
            rng.random() < _ATTEMPT_HEADER_PROBABILITY
        )
    if operation.sends_attempt_number:
        headers.append((header_names.ATTEMPT, str(operation.sends)))
    return tuple(headers)
