"""Stand-in target of a soak, which misbehaves on command."""

from __future__ import annotations

import asyncio
import contextlib
import json
from importlib import resources
from string import Template
from typing import TYPE_CHECKING
from typing import Any

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.http_client import REQUEST_ERRORS
from savorystand.lab.http_client import HttpClient
from savorystand.lab.soak.fault import Fault
from savorystand.lab.soak.target_messages import HEAD_END
from savorystand.lab.soak.target_messages import PART
from savorystand.lab.soak.target_messages import flood
from savorystand.lab.soak.target_messages import parse_head
from savorystand.lab.soak.target_messages import read_limit
from savorystand.lab.soak.target_messages import refusal_without_id
from savorystand.lab.soak.texts import response_headers
from savorystand.platform import headers as header_names

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.lab.soak.history import History
    from savorystand.lab.soak.target_messages import Head
    from savorystand.settings.node import Address

# Header of requests with the number of the node at which they began.
ORIGIN = 'x-origin'
# Header of responses with the life of the target that sent them.
INSTANCE = 'x-instance'
SLOTS = 40
POOLS = ('lookups', 'orders')
ANNOUNCE_INTERVAL_MS = 400
_ANNOUNCE_TIMEOUT_MS = 1000
_OK = 200
_MEAN_WORK_MS = 20
# About the time after which a kept connection is used again.
_MAX_LATE_MS = 100
_TEMPLATE = Template(
    resources.files('savorystand.lab.soak')
    .joinpath('announcement.json')
    .read_text()
)


class Target:
    """One target at one address, in one life after the other."""

    __slots__ = (
        '_address',
        '_announcements',
        '_clock',
        '_history',
        '_lives',
        '_location',
        '_rng',
        '_running',
        '_sequence',
        'fault',
        'instance',
        'leaving',
        'life',
        'limit',
        'node',
        'silent',
        'slowdown',
        'started_ms',
        'state',
        'states_departure',
    )

    def __init__(  # noqa: WPS211 - a stand-in takes what it stands between
        self,
        *,
        node: int,
        address: Address,
        announcements: Address,
        location: dict[str, str],
        history: History,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the target beside a node.

        It is reached at ``address`` and announces itself at ``announcements``.
        ``location`` has its pool and failure domain.
        """
        self.node = node
        self._address = address
        self._announcements = HttpClient(address=announcements)
        self._location = location
        self._history = history
        self._clock = clock
        self._rng = rng
        self._running = 0
        self._sequence = 0
        self._lives = 0
        self.instance = ''
        # Tells lives under one instance id apart.
        self.life = ''
        self.started_ms = 0
        self.start_life(f'i-{node}-0')

    def start_life(self, instance: str) -> None:
        """Start again as ``instance``, without memory."""
        self._lives += 1
        self.instance = instance
        self.life = f'{instance}.{self._lives}'
        self.started_ms = max(self._clock.wall_time(), self.started_ms + 1)
        self._sequence = 0
        self.fault = Fault.NONE
        self.limit = ''
        self.leaving = False
        # Whether responses say that it leaves.
        self.states_departure = True
        # No announcements are sent.
        self.silent = False
        self.slowdown = float(1)
        self.state = 'ready'

    def move(self) -> None:
        """Start as another target, of the other pool."""
        other = set(POOLS) - {self._location['pool']}
        self._location['pool'] = other.pop()
        self.start_life(f'{self.instance}*')

    async def announce(self) -> bool:
        """Send an announcement; return True if the node has accepted it."""
        return await self.post(*self.next_announcement())

    def next_announcement(self) -> tuple[str, bytes]:
        """Return path and body of the next announcement."""
        self._sequence += 1
        body = json.dumps(self.announcement_fields()).encode()
        return f'/Instances.Heartbeat/{self.instance}', body

    def announcement_fields(self) -> dict[str, Any]:
        """Return the fields of the last announcement with the present state."""
        text = _TEMPLATE.substitute(
            self._location,
            target=self._address.text(),
            slots=SLOTS,
            state=self.state,
            sequence=self._sequence,
            started_ms=self.started_ms,
        )
        return dict(json.loads(text))

    async def post(self, path: str, body: bytes) -> bool:
        """Send a message to the node; return True if it has accepted it."""
        try:
            response = await self._announcements.send(
                'POST', path, body=body, timeout_ms=_ANNOUNCE_TIMEOUT_MS
            )
        except REQUEST_ERRORS:
            return False
        return response.status == _OK

    async def deregister(self) -> bool:
        """Say goodbye; return True if the node has accepted it.

        The body may name the start of this life.
        """
        born = json.dumps({'born': self.started_ms}).encode()
        return await self.post(
            f'/Instances.Deregister/{self.instance}',
            self._rng.choice((b'', born)),
        )

    async def announce_always(self) -> None:
        """Announce this target until cancelled."""
        while True:
            if not self.silent:
                await self.announce()
            await self._clock.sleep(ANNOUNCE_INTERVAL_MS)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        previous = b''
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = parse_head(await reader.readuntil(HEAD_END))
                await reader.readexactly(head.length)
                response = await self._answer(head)
                if not await self._send(writer, head, response, previous):
                    break
                previous = response
        writer.close()

    async def _answer(self, head: Head) -> bytes:
        life = self.life
        refused = self._running >= SLOTS or self._draw(Fault.REFUSE)
        if head.expected != self.instance:
            return self._encode(head, '421 Misdirected', '')
        self._history.arrive(
            head.request_id,
            self.node,
            life,
            ran=not refused,
            pool=self._location['pool'],
        )
        if head.caller not in POOLS:
            self._history.unsolicited.append(f'of a caller {head.caller}')
        if refused:
            return self._encode(
                head, '503 Refused', '', (header_names.NOT_RUN, '1')
            )
        self._running += 1
        try:
            await self._clock.sleep(
                self.slowdown * self._rng.expovariate(1 / _MEAN_WORK_MS)
            )
        finally:
            self._running -= 1
        return self._encode(
            head,
            '200 OK',
            f'{head.request_id} {life}',
            (INSTANCE, life),
        )

    def _encode(
        self, head: Head, status: str, body: str, *extra: tuple[str, str]
    ) -> bytes:
        headers = [
            (header_names.REQUEST_ID, head.request_id),
            (header_names.LOAD, f'{self._running},0,{SLOTS},100'),
            ('content-length', str(len(body))),
            *response_headers(head.request_id),
            *extra,
        ]
        self._history.name_limit(self.life, read_limit(self.limit))
        if self.limit:
            headers.append((header_names.RATE_LIMIT, self.limit))
        if self.leaving and self.states_departure:
            headers.append((header_names.LEAVING, '1'))
        lines = [f'{name}: {text}' for name, text in headers]
        return '\r\n'.join([f'HTTP/1.1 {status}', *lines, '', body]).encode()

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        head: Head,
        response: bytes,
        previous: bytes,
    ) -> bool:
        """Send a response or what a fault makes of it; return False to close."""
        match self.fault if self._rng.random() < 1 / 2 else Fault.NONE:
            case Fault.REPEAT:
                response = previous + response
            case Fault.REPEAT_REFUSAL if previous:
                response = refusal_without_id() + response
            case Fault.REPEAT_LATE:
                delay_s = self._rng.uniform(0, _MAX_LATE_MS) / MS_PER_SECOND
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, _write_late, writer, response)
            case Fault.TRUNCATE:
                writer.write(response[: -len(response) // 3])
                return False
            case Fault.NONSENSE:
                writer.write(PART)
                return False
            case Fault.ENDLESS_BODY | Fault.ENDLESS_HEAD:
                end = (
                    HEAD_END if self.fault is Fault.ENDLESS_BODY else b'\r\nx: '
                )
                start = f'HTTP/1.1 200 OK\r\nrequest-id: {head.request_id}'
                await flood(writer, start.encode() + end)
                return False
            case Fault.HANG:
                return True
        writer.write(response)
        await writer.drain()
        return True

    def _draw(self, fault: Fault) -> bool:
        return self.fault is fault and self._rng.random() < 1 / 2


def _write_late(writer: asyncio.StreamWriter, response: bytes) -> None:
    if not writer.is_closing():
        writer.write(response)
