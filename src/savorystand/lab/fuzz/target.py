"""A simulated target with random faults and downstream calls."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.gateway import headers as header_names
from savorystand.gateway.http_connection import HttpConnection
from savorystand.gateway.target_client import TargetClient
from savorystand.lab.fuzz.http import Exchange
from savorystand.lab.fuzz.oracle import Operation
from savorystand.lab.fuzz.streams import Connection
from savorystand.lab.fuzz.transport import MemoryTransport

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from anyio.abc import ByteStream
    from anyio.abc import TaskGroup

    from savorystand.call import Headers
    from savorystand.clock import Clock
    from savorystand.lab.fuzz.oracle import Oracle

OPERATION_HEADER = 'x-operation'
REQUEST_HEADER = 'x-request'
_MAX_LATENCY_MS = 2
_DOWNSTREAM_CALLS = {  # noqa: WPS407 - read only
    '/browse': ('GET', '/lookup', True),
    '/order': ('POST', '/confirm', False),
}
_BEHAVIOURS = ('answer', 'slow', 'refuse', 'fail', 'truncate', 'close', 'hang')
_BEHAVIOUR_WEIGHTS = (50, 12, 12, 8, 4, 4, 4)
_FAILING_BEHAVIOURS = ('fail', 'fail', 'refuse', 'close')
_MAX_HANG_MS = 60000
_MAX_SLOW_MS = 3000
_MAX_NORMAL_MS = 40
_CONTEXT_PROBABILITY = 0.7
_OK = 200
_UNAVAILABLE = 503
_STREAM_CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


@final
class MemoryTargetClient(TargetClient):
    """Connects a node to a target over in-memory streams."""

    __slots__ = ('_target',)

    def __init__(self, *, clock: Clock, target: FuzzTarget) -> None:
        """Send calls to ``target``."""
        super().__init__(clock=clock, host='127.0.0.1', port=1)
        self._target = target

    async def _connect(self, remaining_ms: float) -> HttpConnection:
        await anyio.sleep(0)
        conn = HttpConnection(clock=self._clock, account=self._account)
        self._target.connect_protocol(conn)
        return conn


@final
class FuzzTarget:
    """One target process with its HTTP server."""

    def __init__(
        self,
        *,
        name: str,
        pool: str,
        oracle: Oracle,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Serve ``pool`` and report each request to ``oracle``."""
        self._name = name
        self._oracle = oracle
        self._tasks = tasks
        self._rng = rng
        self._process_scope = anyio.CancelScope()
        self._connections: list[Connection] = []
        self._downstream_calls = 0
        self.pool = pool
        self.running = True
        self.leave_ms: float | None = None
        # A failing target uses only the failing behaviours, and none while
        # faults are disabled.
        self.faults_disabled = False
        self.failing = False
        # Sends a request to the target's own node.
        self.send_to_node: Callable[[Exchange], None] = _drop_request

    def is_serving(self) -> bool:
        """Return True if the process runs and takes new work."""
        return self.running and self.leave_ms is None

    def connect(self) -> ByteStream:
        """Open a connection and return the client's end.

        Raises:
            OSError: the process does not run.
        """
        if not self.running:
            raise OSError('refused')
        rng = random.Random(self._rng.random())
        connection = Connection(rng=rng, max_latency_ms=_MAX_LATENCY_MS)
        self._connections.append(connection)
        self._tasks.start_soon(self._serve, connection, self._process_scope)
        return connection.client

    def connect_protocol(self, protocol: asyncio.Protocol) -> None:
        """Connect a protocol of the node to the server.

        Raises:
            OSError: the process does not run.
        """
        MemoryTransport(
            stream=self.connect(),
            protocol=protocol,
            tasks=self._tasks,
        )

    def crash(self) -> None:
        """End the process: cut its connections and cancel its work."""
        self.running = False
        for connection in self._connections:
            connection.cut()
        self._connections.clear()
        self._process_scope.cancel()

    def restart(self) -> None:
        """Start the process again."""
        self.running = True
        self.leave_ms = None
        self._process_scope = anyio.CancelScope()

    def close_connections(self) -> None:
        """Close all connections, as the end of the node's process does."""
        for connection in self._connections:
            connection.end()
        self._connections.clear()

    async def _serve(
        self, connection: Connection, process_scope: anyio.CancelScope
    ) -> None:
        try:
            await self._serve_requests(connection.server, process_scope)
        except _STREAM_CLOSED_ERRORS:
            # The node or the target closed the connection or crashed.
            connection.end()

    async def _serve_requests(
        self, stream: ByteStream, process_scope: anyio.CancelScope
    ) -> None:
        buffered = b''
        while True:
            while b'\r\n\r\n' not in buffered:
                buffered += await stream.receive()
            head, _, rest = buffered.partition(b'\r\n\r\n')
            headers = _parse_headers(head)
            length = int(header_names.header(headers, 'content-length'))
            while len(rest) < length:
                rest += await stream.receive()
            buffered = rest[length:]
            if process_scope.cancel_called:
                return
            path = head.split(b' ')[1].decode()
            await self._run(stream, path, headers, process_scope)

    async def _run(
        self,
        stream: ByteStream,
        path: str,
        headers: Headers,
        process_scope: anyio.CancelScope,
    ) -> None:
        name = header_names.header(headers, OPERATION_HEADER)
        request = header_names.header(headers, REQUEST_HEADER)
        self._oracle.check_attempt(name, path, request)
        behaviour = self._rng.choices(_BEHAVIOURS, _BEHAVIOUR_WEIGHTS)[0]
        if self.failing:
            behaviour = self._rng.choice(_FAILING_BEHAVIOURS)
        if self.faults_disabled:
            behaviour = 'answer'
        self._oracle.count(f'target {behaviour}')
        if behaviour == 'refuse':
            verdict = 'savorystand-verdict: not-run\r\n'
            await stream.send(_encode_response(_UNAVAILABLE, verdict, b''))
            return
        self._oracle.check_start(name, self._name, self.leave_ms)
        max_duration_ms = {'slow': _MAX_SLOW_MS, 'hang': _MAX_HANG_MS}.get(
            behaviour, _MAX_NORMAL_MS
        )
        await anyio.sleep(self._rng.uniform(0, max_duration_ms) / MS_PER_SECOND)
        if process_scope.cancel_called:
            return
        downstream_answered = True
        if path in _DOWNSTREAM_CALLS:
            downstream_answered = await self._call_downstream(
                name, path, request, headers
            )
        if process_scope.cancel_called:
            return
        await self._respond(
            stream, name, behaviour if downstream_answered else 'fail'
        )

    async def _respond(
        self, stream: ByteStream, name: str, behaviour: str
    ) -> None:
        response = _encode_response(
            _OK, '', self._oracle.operations[name].response_body()
        )
        match behaviour:
            case 'fail':
                await stream.send(_encode_response(_UNAVAILABLE, '', b'failed'))
            case 'truncate':
                cut_at = self._rng.randrange(len(response))
                await stream.send(response[:cut_at])
                await stream.aclose()
            case 'close':
                await stream.aclose()
            case _:
                await stream.send(response)

    async def _call_downstream(
        self, name: str, path: str, request: str, headers: Headers
    ) -> bool:
        """Call the downstream service; return True if it answered."""
        method, downstream_path, idempotent = _DOWNSTREAM_CALLS[path]
        self._downstream_calls += 1
        operation = Operation(
            # Each execution has its own downstream operation.
            name=f'{name}.{self._name}.{self._downstream_calls}',
            method=method,
            path=downstream_path,
            idempotent=idempotent,
        )
        headers_sent: list[tuple[str, str]] = [
            (OPERATION_HEADER, operation.name),
            (REQUEST_HEADER, request),
        ]
        if not idempotent:
            operation.key = f'own {operation.name}'
            headers_sent.append((header_names.IDEMPOTENCY_KEY, operation.key))
            headers_sent.append((header_names.ATTEMPT, '1'))
        if self._rng.random() < _CONTEXT_PROBABILITY:
            context = header_names.header(headers, header_names.CONTEXT)
            headers_sent.append((header_names.CONTEXT, context))
        self._oracle.record_send(operation)
        exchange = Exchange(
            method=method,
            path=downstream_path,
            headers=tuple(headers_sent),
            body=operation.request_body(),
        )
        self.send_to_node(exchange)
        await exchange.done.wait()
        if not exchange.status:
            return False
        verdict = exchange.response_header(header_names.VERDICT)
        self._oracle.check_verdict(
            operation,
            status=exchange.status,
            verdict=verdict,
            body=exchange.response_body,
        )
        return verdict == 'answered'


def _drop_request(exchange: Exchange) -> None:
    exchange.done.set()


def _parse_headers(head: bytes) -> Headers:
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines)
    return tuple((name.lower(), text.strip()) for name, _, text in pairs)


def _encode_response(status: int, headers: str, body: bytes) -> bytes:
    length = f'content-length: {len(body)}\r\n'
    head = f'HTTP/1.1 {status} X\r\n{headers}{length}\r\n'
    return head.encode() + body
