"""A target that answers, refuses, fails, hangs and calls on."""

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

    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.clock import Clock
    from savorystand.lab.fuzz.oracle import Oracle

OPERATION = 'x-operation'
REQUEST = 'x-request'
_LATENCY_MS = 2
_CHAINS = {  # noqa: WPS407 - read only
    '/browse': ('GET', '/lookup', True),
    '/order': ('POST', '/confirm', False),
}
_PLANS = ('answer', 'slow', 'refuse', 'fail', 'truncate', 'close', 'hang')
_WEIGHTS = (50, 12, 12, 8, 4, 4, 4)
_FAILURES = ('fail', 'fail', 'refuse', 'close')
_HANG_MS = 60000
_SLOW_MS = 3000
_QUICK_MS = 40
_CONTEXT_SHARE = 0.7
_OK = 200
_UNAVAILABLE = 503
_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


@final
class MemoryTargetClient(TargetClient):
    """The client of a target that is reached over memory streams."""

    __slots__ = ('_target',)

    def __init__(self, *, clock: Clock, target: FuzzTarget) -> None:
        """Send calls to ``target``."""
        super().__init__(clock=clock, host='127.0.0.1', port=1)
        self._target = target

    async def _connect(self, call: Call) -> HttpConnection:
        await anyio.sleep(0)
        conn = HttpConnection(clock=self._clock)
        self._target.attach(conn)
        return conn


@final
class FuzzTarget:
    """One target process and the HTTP server in it."""

    def __init__(
        self,
        *,
        name: str,
        pool: str,
        oracle: Oracle,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Serve ``pool`` and tell ``oracle`` of each request."""
        self._name = name
        self._oracle = oracle
        self._tasks = tasks
        self._rng = rng
        self._scope = anyio.CancelScope()
        self._connections: list[Connection] = []
        self._children = 0
        self.pool = pool
        self.up = True
        self.leave_ms: float | None = None
        # Shares out the plans of failure; none of them while it is quiet.
        self.quiet = False
        self.failing = False
        # Sends a request to the target's own node.
        self.call_node: Callable[[Exchange], None] = _no_node

    def serves(self) -> bool:
        """Return True if the process runs and takes new work."""
        return self.up and self.leave_ms is None

    def connect(self) -> ByteStream:
        """Open a connection.

        Raises:
            OSError: the process does not run.
        """
        if not self.up:
            raise OSError('refused')
        rng = random.Random(self._rng.random())
        connection = Connection(rng=rng, latency_ms=_LATENCY_MS)
        self._connections.append(connection)
        self._tasks.start_soon(self._serve, connection, self._scope)
        return connection.client

    def attach(self, protocol: asyncio.Protocol) -> None:
        """Connect a protocol of the node.

        Raises:
            OSError: the process does not run.
        """
        MemoryTransport(
            stream=self.connect(),
            protocol=protocol,
            tasks=self._tasks,
        )

    def crash(self) -> None:
        """End the process with all it does."""
        self.up = False
        for connection in self._connections:
            connection.cut()
        self._connections.clear()
        self._scope.cancel()

    def restart(self) -> None:
        """Start the process again."""
        self.up = True
        self.leave_ms = None
        self._scope = anyio.CancelScope()

    def lose_node(self) -> None:
        """Note that the node's process ended, and its connections with it."""
        for connection in self._connections:
            connection.end()
        self._connections.clear()

    async def _serve(
        self, connection: Connection, life: anyio.CancelScope
    ) -> None:
        try:
            await self._serve_requests(connection.server, life)
        except _BROKEN:
            # The node or the target went away.
            connection.end()

    async def _serve_requests(
        self, stream: ByteStream, life: anyio.CancelScope
    ) -> None:
        buffered = b''
        while True:
            while b'\r\n\r\n' not in buffered:
                buffered += await stream.receive()
            head, _, rest = buffered.partition(b'\r\n\r\n')
            headers = _headers(head)
            length = int(header_names.header(headers, 'content-length'))
            while len(rest) < length:
                rest += await stream.receive()
            buffered = rest[length:]
            if life.cancel_called:
                return
            path = head.split(b' ')[1].decode()
            await self._run(stream, path, headers, life)

    async def _run(
        self,
        stream: ByteStream,
        path: str,
        headers: Headers,
        life: anyio.CancelScope,
    ) -> None:
        name = header_names.header(headers, OPERATION)
        request = header_names.header(headers, REQUEST)
        self._oracle.attempt(name, path, request)
        plan = self._rng.choices(_PLANS, _WEIGHTS)[0]
        if self.failing:
            plan = self._rng.choice(_FAILURES)
        if self.quiet:
            plan = 'answer'
        self._oracle.count(f'target {plan}')
        if plan == 'refuse':
            verdict = 'savorystand-verdict: not-run\r\n'
            await stream.send(_response(_UNAVAILABLE, verdict, b''))
            return
        self._oracle.start(name, self._name, self.leave_ms)
        long_ms = {'slow': _SLOW_MS, 'hang': _HANG_MS}.get(plan, _QUICK_MS)
        await anyio.sleep(self._rng.uniform(0, long_ms) / MS_PER_SECOND)
        if life.cancel_called:
            return
        whole = True
        if path in _CHAINS:
            whole = await self._call_on(name, path, request, headers)
        if life.cancel_called:
            return
        await self._reply(stream, name, plan if whole else 'fail')

    async def _reply(self, stream: ByteStream, name: str, plan: str) -> None:
        response = _response(_OK, '', self._oracle.operations[name].answer())
        match plan:
            case 'fail':
                await stream.send(_response(_UNAVAILABLE, '', b'failed'))
            case 'truncate':
                part = self._rng.randrange(len(response))
                await stream.send(response[:part])
                await stream.aclose()
            case 'close':
                await stream.aclose()
            case _:
                await stream.send(response)

    async def _call_on(
        self, name: str, path: str, request: str, headers: Headers
    ) -> bool:
        """Call the service below; return True if it answered."""
        method, below, idempotent = _CHAINS[path]
        self._children += 1
        operation = Operation(
            # Each execution has its own operation below.
            name=f'{name}.{self._name}.{self._children}',
            method=method,
            path=below,
            idempotent=idempotent,
        )
        sent: list[tuple[str, str]] = [
            (OPERATION, operation.name),
            (REQUEST, request),
        ]
        if not idempotent:
            operation.key = f'own {operation.name}'
            sent.append((header_names.IDEMPOTENCY_KEY, operation.key))
            sent.append((header_names.ATTEMPT, '1'))
        if self._rng.random() < _CONTEXT_SHARE:
            context = header_names.header(headers, header_names.CONTEXT)
            sent.append((header_names.CONTEXT, context))
        self._oracle.begin(operation)
        exchange = Exchange(
            method=method,
            path=below,
            headers=tuple(sent),
            body=operation.body(),
        )
        self.call_node(exchange)
        await exchange.done.wait()
        if not exchange.status:
            return False
        verdict = exchange.header(header_names.VERDICT)
        self._oracle.end(
            operation,
            status=exchange.status,
            verdict=verdict,
            body=exchange.answer,
        )
        return verdict == 'answered'


def _no_node(exchange: Exchange) -> None:
    exchange.done.set()


def _headers(head: bytes) -> Headers:
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines)
    return tuple((name.lower(), text.strip()) for name, _, text in pairs)


def _response(status: int, headers: str, body: bytes) -> bytes:
    length = f'content-length: {len(body)}\r\n'
    head = f'HTTP/1.1 {status} X\r\n{headers}{length}\r\n'
    return head.encode() + body
