"""Stand-in target: an ASGI application with a bounded number of slots."""

from __future__ import annotations

import json
import random
import zlib
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.gateway import headers as header_names
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import RequestAbortedError
from savorystand.gateway.asgi import json_response
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import request_headers
from savorystand.gateway.asgi import send_response
from savorystand.lab.http_client import CLIENT_ERRORS
from savorystand.lab.targets.conditions import Conditions
from savorystand.lab.targets.journal import Execution
from savorystand.lab.targets.local_node import DownstreamFailedError
from savorystand.lab.targets.local_node import LocalNode

if TYPE_CHECKING:
    from savorystand.call import Headers
    from savorystand.gateway.asgi import Receive
    from savorystand.gateway.asgi import Scope
    from savorystand.gateway.asgi import Send
    from savorystand.lab.targets.description import TargetDescription
    from savorystand.lab.targets.description import Work
    from savorystand.lab.targets.journal import ExecutionJournal

OPERATION = 'lab-operation'
_DEFAULT_DEADLINE_MS = 10000
_NOT_RUN = ((header_names.VERDICT, 'not-run'),)
_SUCCESS = 200
_NOT_FOUND = 404
_DOWNSTREAM_ERRORS = (DownstreamFailedError, *CLIENT_ERRORS)
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMEOUT = 504


class Target:
    """Runs requests in its slots; further requests wait in order of arrival."""

    __slots__ = (
        '_clock',
        '_description',
        '_journal',
        '_connected_peers',
        '_rng',
        '_slots',
        '_work',
        'conditions',
        'node',
    )

    def __init__(
        self,
        *,
        description: TargetDescription,
        clock: Clock,
        journal: ExecutionJournal,
    ) -> None:
        """Create a target that records its executions in ``journal``."""
        self._description = description
        self._clock = clock
        self._journal = journal
        self._rng = random.Random(description.seed)
        self._slots = anyio.Semaphore(description.slots)
        self._work = {work.match: work for work in description.work}
        self._connected_peers: set[tuple[str, int]] = set()
        self.conditions = Conditions(clock=clock, cold_ms=description.cold_ms)
        self.node = LocalNode(
            address=description.node,
            pool=description.pool,
            clock=clock,
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI version 3)."""
        try:
            body = await request_body(receive)
        except RequestAbortedError:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks)
            await send_response(send, await self._serve(scope, body))
            tasks.cancel_scope.cancel()

    async def _serve(self, scope: Scope, body: bytes) -> HttpResponse:
        path = scope['path']
        if path == '/load':
            in_use = self._description.slots - self._slots.value
            return json_response({'in_use': self.conditions.report(in_use)})
        work = self._work.get(f'{scope["method"]} {path}')
        if work is None:
            return json_response({'error': path}, status=_NOT_FOUND)
        if self.conditions.draining:
            return HttpResponse(status=_UNAVAILABLE, headers=_NOT_RUN)
        headers = request_headers(scope)
        peer = scope['client']
        deadline = header_names.header(headers, header_names.DEADLINE)
        remaining_ms = float(deadline or _DEFAULT_DEADLINE_MS)
        with anyio.move_on_after(
            remaining_ms / MS_PER_SECOND
        ) as deadline_scope:
            async with self._slots:
                await self._accept_connection(peer)
                return await self._run(work, headers, body, deadline_scope)
        return HttpResponse(status=_UNAVAILABLE, headers=_NOT_RUN)

    async def _accept_connection(self, peer: tuple[str, int]) -> None:
        if peer in self._connected_peers:
            return
        self._connected_peers.add(peer)
        await self._clock.sleep(self._description.connection_ms)

    async def _run(
        self,
        work: Work,
        headers: Headers,
        body: bytes,
        deadline_scope: anyio.CancelScope,
    ) -> HttpResponse:
        context = header_names.header(headers, header_names.CONTEXT)
        execution = self._journal.begin(
            Execution(
                target=self._description.name,
                route=work.match,
                operation=header_names.header(headers, OPERATION),
                key=header_names.header(headers, header_names.IDEMPOTENCY_KEY),
                request_id=context.partition(';')[0],
                start_ms=self._clock.now(),
            ),
        )
        # The execution has started: from here on an exceeded deadline must lead
        # to status 504 and not to the verdict not-run.
        remaining_seconds = deadline_scope.deadline - anyio.current_time()
        deadline_scope.deadline = float('inf')
        try:
            with anyio.move_on_after(remaining_seconds):
                return await self._execute(work, headers, body, execution)
        except BaseException:
            execution.cancelled = True
            raise
        execution.cancelled = True
        return HttpResponse(status=_TIMEOUT)

    async def _execute(
        self,
        work: Work,
        headers: Headers,
        body: bytes,
        execution: Execution,
    ) -> HttpResponse:
        try:
            for downstream in work.downstream:
                await self.node.call(downstream, headers, execution.operation)
        except _DOWNSTREAM_ERRORS as exc:
            execution.cancelled = True
            return json_response({'error': str(exc)}, status=_BAD_GATEWAY)
        deviation = self._rng.uniform(-work.spread, work.spread)
        duration_ms = work.mean_ms * (1 + deviation)
        await self._clock.sleep(self.conditions.work_ms(duration_ms))
        execution.end_ms = self._clock.now()
        return HttpResponse(
            status=_SUCCESS,
            headers=(('content-type', 'application/json'),),
            body=echo(execution.operation, body),
        )


def echo(operation: str, body: bytes) -> bytes:
    """Return the response body for a request: operation and checksum."""
    document = {'operation': operation, 'checksum': zlib.crc32(body)}
    return json.dumps(document).encode()


async def _cancel_on_disconnect(
    receive: Receive, tasks: anyio.abc.TaskGroup
) -> None:
    message = await receive()
    if message['type'] == 'http.disconnect':
        tasks.cancel_scope.cancel()
