"""Compares HTTP clients that send calls to a target.

Run the module with ``python -m savorystand.lab.target_clients``. It prints the
processor time of one exchange, in microseconds, with ``httpcore`` and with the
gateway's client on ``httptools``; the rounds of the two alternate in one run.
"""

from __future__ import annotations

import asyncio
import threading
import time
from functools import partial
from statistics import median
from typing import TYPE_CHECKING

import click
import uvloop

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.gateway.target import TargetBinding
from savorystand.gateway.target_client import TargetClient
from savorystand.lab.http_client import HttpClient
from savorystand.settings.node import Address
from savorystand.tables.route import Route

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_HOST = '127.0.0.1'
_ROUND_COUNT = 7
_EXCHANGES_PER_ROUND = 500
_DEADLINE_MS = 60000
_US_PER_SECOND = 1000000
_HEADERS = (('accept', '*/*'), ('savorystand-request-id', '0123456789abcdef'))
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: 17\r\n\r\n{"operation": ""}'
)


class _TargetProtocol(asyncio.Protocol):
    """Sends one response per read, as each read holds one request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        assert isinstance(self._transport, asyncio.Transport)
        self._transport.write(_RESPONSE)


class _TargetThread(threading.Thread):
    """Runs a target in a thread of its own, whose time is not measured."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.port = 0
        self.ready = threading.Event()

    def run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_TargetProtocol, _HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()


async def _measure(exchange: Callable[[], Awaitable[object]]) -> float:
    started = time.thread_time()
    for _ in range(_EXCHANGES_PER_ROUND):
        await exchange()
    spent = time.thread_time() - started
    return round(spent / _EXCHANGES_PER_ROUND * _US_PER_SECOND, 1)


def _sample_call() -> Call:
    route = Route(
        name='bins',
        method='GET',
        path='/bins',
        pool='binwatch',
        importance=Importance.NORMAL,
        idempotent=True,
    )
    context = CallContext(
        request_id='0123456789abcdef',
        execution_id='',
        deadline_ms=Clock().now() + _DEADLINE_MS,
        retries_left=1,
        importance=Importance.NORMAL,
    )
    return Call(
        context=context,
        route=route,
        method='GET',
        path='/bins',
        headers=_HEADERS,
        body=b'',
    )


async def _compare(port: int) -> None:
    address = Address(host=_HOST, port=port)
    send_with_httpcore = partial(
        HttpClient(address=address).send, 'GET', '/bins', headers=_HEADERS
    )
    client = TargetClient(clock=Clock(), host=_HOST, port=port)
    send_with_httptools = partial(
        client.send,
        _sample_call(),
        'execution',
        TargetBinding(pool='', instance=''),
    )
    spent: dict[str, list[float]] = {'httpcore': [], 'httptools': []}
    for _ in range(_ROUND_COUNT):
        spent['httpcore'].append(await _measure(send_with_httpcore))
        spent['httptools'].append(await _measure(send_with_httptools))
    for name, figures in spent.items():
        click.echo(f'{name} median_us={median(figures)} rounds_us={figures}')


def main() -> None:
    """Compare the clients and print the figures."""
    target_thread = _TargetThread()
    target_thread.start()
    target_thread.ready.wait()
    uvloop.run(_compare(target_thread.port))


if __name__ == '__main__':
    main()
