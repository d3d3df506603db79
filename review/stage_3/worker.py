"""Stand-in of a worker beside a node, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable

from stage_3.http import Message, encode, exchange, read_head
from stage_3.record import Record

BEAT_S = 1.5
# Requests that a worker processes at a time.
CAPACITY = 100

# Works on a request and returns status and body of the answer.
Work = Callable[[Message], Awaitable[tuple[int, bytes]]]


async def short_work(request: Message) -> tuple[int, bytes]:
    """Work for 20 ms."""
    await asyncio.sleep(0.02)
    return 200, b'done'


class Worker:
    """Serves requests, and sends pings to the node on its machine."""

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        address: tuple[str, int],
        admin: tuple[str, int],
        record: Record,
        work: Work = short_work,
        capacity: int = CAPACITY,
    ) -> None:
        """Create a worker that is not served yet."""
        self.instance = instance
        self.service = service
        self.address = address
        self.admin = admin
        self.born = int(time.time() * 1000)
        self.work = work
        self.capacity = capacity
        self._running = 0
        self.sequence = 0
        self.state = 'ready'
        # How the next bodies are read.
        self.read_body: Callable[
            [asyncio.StreamReader, int], Awaitable[bytes]
        ] = asyncio.StreamReader.readexactly
        self._record = record

    async def ping_always(self) -> None:
        """Send a ping every ``BEAT_S`` until cancelled."""
        while True:
            await self.ping()
            await asyncio.sleep(BEAT_S)

    async def ping(self) -> bool:
        """Send a ping; return True if it is acknowledged."""
        self.sequence += 1
        return await self.post_ping(self.instance, self.fields())

    def fields(self) -> dict[str, object]:
        """Return the fields of a ping."""
        return {
            'service': self.service,
            'address': '{}:{}'.format(*self.address),
            'zone': 'suva',
            'version': 'v1',
            'capacity': self.capacity,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def post_ping(
        self, instance: str, fields: dict[str, object]
    ) -> bool:
        """Send a ping with any fields; return True if it is acknowledged."""
        host = '{}:{}'.format(*self.admin)
        head = f'POST /Instances.Heartbeat/{instance} HTTP/1.1'
        headers = {'Host': host, 'Content-Type': 'application/json'}
        request = encode(head, headers, json.dumps(fields).encode())
        try:
            response = await exchange(self.admin, request, 1)
        except (OSError, asyncio.IncompleteReadError):
            return False
        return response.status == 200

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; its end cancels the request in progress."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                request = await read_head(reader)
                response = await self._answer(request, reader, writer)
                writer.write(response)
                await writer.drain()
        writer.close()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        request_id = request.get('request-id')
        expected = request.get('expected-instance')
        length = int(request.get('content-length') or 0)
        load = f'{self._running},0,{self.capacity},100'
        headers = {'Request-Id': request_id, 'Server-Load': load}
        if expected and expected != self.instance:
            await self.read_body(reader, length)
            self._record.write('misdirected', request_id, self.instance)
            headers['Not-Executed'] = '1'
            return encode('HTTP/1.1 421 Misdirected', headers)
        if self._running >= self.capacity:
            await self.read_body(reader, length)
            self._record.write('refused', request_id, self.instance)
            headers['Not-Executed'] = '1'
            return encode('HTTP/1.1 503 Full', headers)
        self._running += 1
        self._record.write(
            'run',
            request_id,
            self.instance,
            service=self.service,
            caller=request.get('caller-service'),
            path=request.path,
        )
        try:
            request.body = await self.read_body(reader, length)
            status, body = await self._watch(request, reader)
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            self._record.write('broken-off', request_id, self.instance)
            raise
        finally:
            self._running -= 1
        self._record.write('ran', request_id, self.instance, status=status)
        headers['Response-Signature'] = f'{request_id}.{self.instance}'
        return encode(f'HTTP/1.1 {status} Status', headers, body)

    async def _watch(
        self, request: Message, reader: asyncio.StreamReader
    ) -> tuple[int, bytes]:
        # Most workers drop a request when its connection closes.
        work = asyncio.ensure_future(self.work(request))
        while not work.done():
            await asyncio.wait((work,), timeout=0.02)
            if reader.at_eof() or reader.exception():
                work.cancel()
                raise ConnectionError('the caller has closed')
        return work.result()
