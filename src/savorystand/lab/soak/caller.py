"""Callers of a soak, which keep using their open connections."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.soak.rules import DEADLINE_MS
from savorystand.lab.soak.target import INSTANCE
from savorystand.lab.soak.texts import extend_id
from savorystand.lab.soak.texts import request_headers
from savorystand.platform import headers as header_names

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorystand.clock import Clock
    from savorystand.lab.soak.history import History
    from savorystand.settings.node import Address

_HEAD_END = b'\r\n\r\n'
_MAX_THINK_MS = 150
_RECONNECT_MS = 50
_MAX_WAIT_MS = 500
# The node answers by the deadline; this allows for a busy machine.
_EXTRA_MS = 1500
_OK = 200
_sequence = itertools.count(1)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class _Response:
    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Sends one request after the other to the node of its instance."""

    __slots__ = (
        '_address',
        '_clock',
        '_history',
        '_may_connect',
        '_node',
        '_rng',
    )

    def __init__(  # noqa: WPS211 - a stand-in takes what it stands between
        self,
        *,
        node: int,
        address: Address,
        may_connect: Callable[[], bool],
        history: History,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Call ``node`` at ``address``.

        Connections are opened only while ``may_connect`` returns True, and
        used until they end.
        """
        self._node = node
        self._address = address
        self._may_connect = may_connect
        self._history = history
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._clock.sleep(_RECONNECT_MS)
            if self._may_connect():
                await self._use_connection()

    async def _use_connection(self) -> None:
        try:
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port
            )
        except OSError:
            return
        try:
            while await self._exchange(reader, writer):
                await self._clock.sleep(self._rng.uniform(0, _MAX_THINK_MS))
        finally:
            writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request; return True if the connection can be used again."""
        request_id = extend_id(f'r-{self._node}-{next(_sequence)}')
        idempotent = self._rng.random() < 1 / 2
        self._history.begin(request_id, self._node, idempotent=idempotent)
        writer.write(_encode_request(request_id, idempotent=idempotent))
        seconds = (DEADLINE_MS + _EXTRA_MS) / MS_PER_SECOND
        try:
            async with asyncio.timeout(seconds):
                response = await _read_response(reader)
        except (OSError, EOFError, ValueError):
            self._history.end(request_id)
            return False
        self._record(request_id, response)
        await self._wait_after(response)
        return response.headers.get('connection') != 'close'

    def _record(self, request_id: str, response: _Response) -> None:
        instance = response.headers.get(INSTANCE, '')
        named = response.headers.get(header_names.REQUEST_ID)
        is_whole = response.body == f'{request_id} {instance}'.encode()
        self._history.end(
            request_id,
            response.status,
            is_genuine=named == request_id
            and (is_whole or response.status != _OK),
        )
        if instance:
            self._history.tell(
                self._node,
                instance,
                limited=header_names.RATE_LIMIT in response.headers,
                leaving=header_names.LEAVING in response.headers,
            )

    async def _wait_after(self, response: _Response) -> None:
        seconds = float(response.headers.get(header_names.RETRY_AFTER, 0))
        await self._clock.sleep(min(_MAX_WAIT_MS, seconds * MS_PER_SECOND))


def _encode_request(request_id: str, *, idempotent: bool) -> bytes:
    start = 'GET /lookup/a' if idempotent else 'POST /order/a'
    lines = [
        f'{start} HTTP/1.1',
        'host: soak.example',
        f'{header_names.REQUEST_ID}: {request_id}',
        f'{header_names.DEADLINE}: {DEADLINE_MS}',
        'content-length: 0',
        *[f'{name}: {text}' for name, text in request_headers(request_id)],
    ]
    return '\r\n'.join([*lines, '', '']).encode()


async def _read_response(reader: asyncio.StreamReader) -> _Response:
    """Read a response.

    Raises:
        EOFError: the connection ended before its end.
        ValueError: it is malformed.
        OSError: the connection failed, or the time is over.
    """
    head = (await reader.readuntil(_HEAD_END)).decode('latin-1')
    start, *lines = head.split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return _Response(status=int(start.split()[1]), headers=headers, body=body)
