"""Compares clients of the target: ``python -m`` this module.

Prints microseconds of processor time for one exchange with ``httpcore`` and with the
gateway's connection on ``httptools``, taken in turns in one run.
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
from savorystand.gateway.target_client import TargetClient
from savorystand.lab.http_client import HttpClient
from savorystand.settings.node import Address
from savorystand.tables.route import Route

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_HOST = '127.0.0.1'
_ROUNDS = 7
_EXCHANGES = 500
_DEADLINE_MS = 60000
_US_PER_SECOND = 1000000
_HEADERS = (('accept', '*/*'), ('savorystand-request-id', '0123456789abcdef'))
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: 17\r\n\r\n{"operation": ""}'
)


class _Responder(asyncio.Protocol):
    """Answers each read, which holds one request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        assert isinstance(self._transport, asyncio.Transport)
        self._transport.write(_RESPONSE)


class _Responders(threading.Thread):
    """A target on a loop of its own, whose time is not counted."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.port = 0
        self.ready = threading.Event()

    def run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_Responder, _HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()


async def _measure(exchange: Callable[[], Awaitable[object]]) -> float:
    started = time.thread_time()
    for _ in range(_EXCHANGES):
        await exchange()
    spent = time.thread_time() - started
    return round(spent / _EXCHANGES * _US_PER_SECOND, 1)


def _call() -> Call:
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
    with_core = partial(
        HttpClient(address=address).send, 'GET', '/bins', headers=_HEADERS
    )
    client = TargetClient(clock=Clock(), host=_HOST, port=port)
    with_tools = partial(client.send, _call(), 'execution')
    spent: dict[str, list[float]] = {'httpcore': [], 'httptools': []}
    for _ in range(_ROUNDS):
        spent['httpcore'].append(await _measure(with_core))
        spent['httptools'].append(await _measure(with_tools))
    for name, figures in spent.items():
        click.echo(f'{name} median_us={median(figures)} rounds_us={figures}')


def main() -> None:
    """Compare the clients."""
    responders = _Responders()
    responders.start()
    responders.ready.wait()
    uvloop.run(_compare(responders.port))


if __name__ == '__main__':
    main()
