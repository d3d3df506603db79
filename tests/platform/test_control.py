"""Tests that only valid requests change what a node knows of its worker.

Any process can send requests to the control listener. A malformed heartbeat,
or one for another worker, must not change the local target.
"""

from __future__ import annotations

import json
from types import MappingProxyType
from typing import Any

import anyio
import pytest

from savorystand.clock import ManualClock
from savorystand.departures.departure import Departure
from savorystand.departures.departure import DepartureSource
from savorystand.departures.departures import Departures
from savorystand.dispatch.announcement import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.kernel.kernel import Kernel
from savorystand.platform.control import ControlEndpoints
from savorystand.reporting.logs import EventLog

pytestmark = pytest.mark.anyio
_HEARTBEAT_FIELDS = MappingProxyType(
    {
        'service': 'refill',
        'address': '10.0.0.1:80',
        'zone': 'suva',
        'version': 'v1',
        'capacity': 109,
        'state': 'ready',
        'warmupLeftMs': 0,
        'sequence': 4,
        'born': 1700000000000,
    }
)


class _Announcements(Announcements):
    def __init__(self) -> None:
        self.accepted: list[Announcement] = []
        self.deregistered: list[tuple[str, int | None]] = []

    def accept(self, announcement: Announcement) -> bool:
        self.accepted.append(announcement)
        return True

    def is_named(self, pool: str) -> bool:
        return pool == _HEARTBEAT_FIELDS['service']

    def deregister(self, instance: str, started_ms: int | None = None) -> None:
        self.deregistered.append((instance, started_ms))


class _Readiness:
    def __init__(self) -> None:
        self.state = False

    def ready(self) -> bool:
        return self.state


class _Node:
    def __init__(self) -> None:
        kernel = Kernel()
        self.announcements = _Announcements()
        self.readiness = _Readiness()
        self.clock = ManualClock()
        log = EventLog(clock=self.clock, node_id='node')
        self.departures = Departures(clock=self.clock, log=log)
        kernel.register('log', log)
        kernel.register('departures', self.departures)
        kernel.register('announcements', self.announcements)
        kernel.register('readiness', self.readiness)
        self.app = ControlEndpoints(kernel=kernel, worker_address='10.0.0.1:80')

    async def request(self, method: str, path: str, body: bytes = b'') -> int:
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {'type': 'http.request', 'body': body}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        scope = {'type': 'http', 'method': method, 'path': path}
        await self.app(scope, receive, send)
        return int(sent[0]['status'])


async def test_heartbeat_is_decoded() -> None:
    """Each heartbeat field becomes the matching field of an announcement."""
    node = _Node()
    body = json.dumps(dict(_HEARTBEAT_FIELDS)).encode()
    assert await node.request('POST', '/Instances.Heartbeat/i-1', body) == 200
    assert node.announcements.accepted == [
        Announcement(
            instance='i-1',
            started_ms=1700000000000,
            sequence=4,
            pool='refill',
            slots=109,
            leaving=False,
        )
    ]
    assert await node.request('POST', '/Instances.Deregister/i-1') == 200
    assert node.announcements.deregistered == [('i-1', None)]


# Guards against a departure that is taken for that of an earlier incarnation,
# as the start time in its body is not read (review/10).
@pytest.mark.parametrize(
    ('body', 'started_ms'),
    [
        (b'{"born":1700000000000}', 1700000000000),
        (b'', None),
        (b'{}', None),
        (b'[7]', None),
        (b'{"born":"1700000000000"}', None),
        (b'{"born":true}', None),
        (b'{"born":-1}', None),
        (b'{"born":1e400}', None),
        (b'{"born":%d}' % 10**30, None),
        (b'[' * 100000, None),
    ],
)
async def test_deregistration_names_the_start_in_its_body(
    body: bytes, started_ms: int | None
) -> None:
    """A body that cannot be read must not keep the target from leaving."""
    node = _Node()
    path = '/Instances.Deregister/i-1'
    assert await node.request('POST', path, body) == 200
    assert node.announcements.deregistered == [('i-1', started_ms)]


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'unknown'},
        {'capacity': 'many'},
        {'capacity': True},
        {'capacity': 0},
        {'sequence': None},
        {'born': 1.5},
        {'service': 7},
        {'service': ''},
        {'service': 'x' * 65},
        {'service': '\udc80'},
        {'capacity': 10**12},
        {'capacity': float('inf')},
        {'born': 10**30},
        {'born': -1},
        {'address': '10.0.0.2:80'},
        {'zone': None},
        {'version': 1},
        {'warmupLeftMs': '0'},
        {'warmupLeftMs': -1},
        {'warmupLeftMs': float('nan')},
    ],
)
async def test_invalid_heartbeats_are_refused(
    change: dict[str, Any],
) -> None:
    """A heartbeat with a wrong type, state or address has no effect."""
    node = _Node()
    body = json.dumps({**_HEARTBEAT_FIELDS, **change}).encode()
    assert await node.request('POST', '/Instances.Heartbeat/i-1', body) == 400
    for malformed in (b'', b'[]', body[:20], b'\xff'):
        assert (
            await node.request('POST', '/Instances.Heartbeat/i-1', malformed)
            == 400
        )
    assert not node.announcements.accepted


# Guards against a worker that gets requests of another service, after a message
# of another writer that lacks fields (review/2).
@pytest.mark.parametrize('missing', sorted(set(_HEARTBEAT_FIELDS) - {'born'}))
async def test_heartbeats_without_a_field_are_refused(missing: str) -> None:
    """A worker sends all fields; only its start may be missing."""
    node = _Node()
    fields = dict(_HEARTBEAT_FIELDS)
    del fields[missing]
    body = json.dumps(fields).encode()
    assert await node.request('POST', '/Instances.Heartbeat/i-1', body) == 400
    assert not node.announcements.accepted


@pytest.mark.parametrize('worker_id', ['', 'i 1', 'i\r\nX: y', 'ï', 'i' * 129])
async def test_invalid_worker_ids_are_refused(worker_id: str) -> None:
    """An id travels in headers and frames, in which it must have a place.

    Otherwise each later call to the worker would fail or be misread.
    """
    node = _Node()
    body = json.dumps(dict(_HEARTBEAT_FIELDS)).encode()
    for prefix in ('/Instances.Heartbeat/', '/Instances.Deregister/'):
        assert await node.request('POST', f'{prefix}{worker_id}', body) == 400
    assert not node.announcements.accepted
    assert not node.announcements.deregistered


async def test_readiness() -> None:
    """A node that leaves or has no configuration must get no callers.

    It reports that it is not ready, and the check then fails.
    """
    node = _Node()
    assert await node.request('GET', '/readyz') == 503
    node.readiness.state = True
    assert await node.request('GET', '/readyz') == 200


# Guards against a departure that is lost with the process that acknowledged it.
@pytest.mark.parametrize('path', ['Heartbeat', 'Deregister'])
async def test_departure_is_acknowledged_once_it_is_saved(path: str) -> None:
    """Without an acknowledgement the worker repeats its call."""
    node = _Node()
    departure = Departure(instance='i-1', started_ms=1)
    node.departures.record(departure, DepartureSource.DEREGISTERED)
    fields = {**_HEARTBEAT_FIELDS, 'state': 'draining'}
    body = json.dumps(fields).encode()
    statuses: list[int] = []

    async def call() -> None:
        target = f'/Instances.{path}/i-1'
        statuses.append(await node.request('POST', target, body))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await anyio.wait_all_tasks_blocked()
        assert statuses == []
        node.clock.advance(800)
        await anyio.wait_all_tasks_blocked()
        assert statuses == [503]
        tasks.start_soon(call)
        await anyio.wait_all_tasks_blocked()
        node.departures.mark_saved([departure])
    assert statuses == [503, 200]


# Guards against an acknowledged departure that no node remembers.
@pytest.mark.parametrize(
    ('state', 'status'), [('ready', 200), ('draining', 503)]
)
async def test_departure_from_an_unnamed_service_is_not_acknowledged(
    state: str, status: int
) -> None:
    """It is not recorded; a worker that is ready gets its acknowledgement."""
    node = _Node()
    fields = {**_HEARTBEAT_FIELDS, 'state': state, 'service': 'depot-archive'}
    body = json.dumps(fields).encode()
    path = '/Instances.Heartbeat/i-1'
    assert await node.request('POST', path, body) == status


# Guards against announcements that wait for a store that is away.
async def test_announcement_of_a_ready_worker_is_not_delayed() -> None:
    """It promises nothing that has to be saved."""
    node = _Node()
    departure = Departure(instance='i-0', started_ms=1)
    node.departures.record(departure, DepartureSource.DEREGISTERED)
    body = json.dumps(dict(_HEARTBEAT_FIELDS)).encode()
    assert await node.request('POST', '/Instances.Heartbeat/i-1', body) == 200
