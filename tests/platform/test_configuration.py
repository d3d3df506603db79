"""Tests that the tables in force match the operators' configuration.

A wrongly parsed field, a skipped change or unreadable bytes in the store would
make a node route by tables that the operators did not write.
"""

from __future__ import annotations

import base64
import json
from typing import Any

import anyio
import pytest

from savorystand.call import Importance
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.membership.registration import RegisteredNode
from savorystand.platform.configuration import StoredConfiguration
from savorystand.platform.configuration import parse_configuration
from savorystand.platform.node_registry import StoredNodeRegistry
from savorystand.platform.row_client import RowClient
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.connections import ServiceResponse
from savorystand.store.errors import HistoryLostError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.rows import RowKey
from savorystand.tables.document import TablesDocument
from savorystand.tables.feed_reader import FeedPosition

_CONFIG = RowKey(table='op', key='config')


def _configuration_fields(version: str, **path: Any) -> dict[str, Any]:
    route_fields = {
        'name': 'r-1',
        'prefix': '/a/',
        'routeKind': 'non_idempotent',
        'timeoutMs': 800,
        'targetLatencyMs': 1500,
        'priority': 0,
        'service': 'refill',
        'maxAttempts': 2,
    }
    longer_route = {
        **route_fields,
        'name': 'r-2',
        'prefix': '/a/b/',
        'priority': 7,
    }
    longer_route['routeKind'] = 'download'
    return {
        'version': version,
        'services': [{'name': 'refill', 'maxConnections': 754}],
        'virtualHosts': [
            {
                'host': 'A.example',
                'paths': [{**route_fields, **path}, longer_route],
            },
        ],
    }


def _document(fields: dict[str, Any]) -> TablesDocument:
    text = json.dumps(fields)
    return TablesDocument(revision=12, change_id='', routes=text, pools='')


def test_routes_by_host_and_longest_prefix() -> None:
    """A route applies to its own host and to paths with its whole prefix."""
    tables = parse_configuration(_document(_configuration_fields('0000000c')))
    route = tables.match_host('a.example', '/a/x?b=/a/b/')
    assert route is not None
    assert (route.name, route.idempotent) == ('r-1', False)
    assert route.importance is Importance.CRITICAL
    assert (route.limit_ms, route.objective_ms) == (800, 1500)
    assert route.max_targets == 2
    longer_route = tables.match_host('a.example', '/a/b/')
    assert longer_route is not None
    assert (longer_route.name, longer_route.idempotent) == ('r-2', True)
    assert longer_route.importance is Importance.LOW
    assert tables.match_host('a.example', '/a') is None
    assert tables.match_host('a.example', '/ab/') is None
    assert tables.match_host('b.example', '/a/x') is None


def test_weighted_services_replace_the_service() -> None:
    """A route with weighted services has no single service."""
    split = [{'service': 'one', 'weight': 90}, {'service': 'two', 'weight': 10}]
    fields = _configuration_fields(
        '0000000c', service=None, weightedClusters=split
    )
    tables = parse_configuration(_document(fields))
    route = tables.match_host('a.example', '/a/')
    assert route is not None
    shares = [(share.pool, share.weight) for share in route.splits]
    assert shares == [('one', 90), ('two', 10)]


@pytest.mark.parametrize('text', ['', '[]', '{"virtualHosts": 1}', '{"a"'])
def test_malformed_configuration_is_rejected(text: str) -> None:
    """Malformed text raises ValueError, so that the tables are kept."""
    document = TablesDocument(revision=1, change_id='', routes=text, pools='')
    with pytest.raises(ValueError, match=r'.'):
        parse_configuration(document)


@pytest.mark.parametrize(
    'change',
    [
        {'timeoutMs': float('inf')},
        {'priority': float('nan')},
        {'name': '\udc80'},
        {'service': 'x\n'},
        {'weightedClusters': [{'service': 'a', 'weight': float('nan')}]},
        {'weightedClusters': [{'service': 'a', 'weight': -1}]},
    ],
)
def test_configuration_out_of_range_is_rejected(change: dict[str, Any]) -> None:
    """A value that no frame can carry must not reach the tables.

    Each later call of the route would fail, or the node would end.
    """
    fields = _configuration_fields('0000000c', **change)
    with pytest.raises(ValueError, match=r'.'):
        parse_configuration(_document(fields))


class _Connections(ServiceConnections):
    """Responds to each request with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def send(self, request: ServiceRequest) -> ServiceResponse:
        return ServiceResponse(status=200, body=self._body)


@pytest.mark.anyio
@pytest.mark.parametrize(
    'body',
    [
        b'{"rows": [], "ver": 1e999}',
        b'{"rows": [{"table": "op", "key": "config", "ver": 1e999}]}',
        b'{"rows": [], "ver": [1]}',
        b'[' * 100_000,
        b'\xff',
    ],
)
async def test_malformed_response_of_the_store_is_an_outage(
    body: bytes,
) -> None:
    """Bytes that are no rows must not end the node; the read is repeated."""
    rows = RowClient(connections=_Connections(body))
    with pytest.raises(StoreUnavailableError):
        await StoredConfiguration(rows=rows).newest()


@pytest.mark.anyio
@pytest.mark.parametrize('version', ['f' * 17, '-1', '', 'x', 7, None])
async def test_configuration_without_a_usable_version_is_ignored(
    version: object,
) -> None:
    """A version that gossip cannot carry would silence membership."""
    fields = {**_configuration_fields(''), 'version': version}
    config = base64.b64encode(json.dumps(fields).encode()).decode()
    row = {'table': 'op', 'key': 'config', 'ver': 3, 'value': config}
    body = json.dumps({'rows': [row], 'ver': 3}).encode()
    rows = RowClient(connections=_Connections(body))
    newest = await StoredConfiguration(rows=rows).newest()
    assert newest == (None, FeedPosition(version=3))


def _row(key: str, encoded: object) -> dict[str, object]:
    return {'table': 'op', 'key': key, 'ver': 3, 'value': encoded}


# Guards against rows of other writers that hide the configuration.
@pytest.mark.anyio
@pytest.mark.parametrize(
    'odd',
    [
        'no base64',
        '\u00fc',
        7,
        None,
        base64.b64encode(b'[' * 60000).decode(),
        base64.b64encode(b'\xff').decode(),
        base64.b64encode(b'{"version": 1e999}').decode(),
    ],
)
async def test_odd_row_leaves_the_others_readable(odd: object) -> None:
    """A bad row costs only itself, before and after the configuration."""
    fields = _configuration_fields('0000000c')
    config = base64.b64encode(json.dumps(fields).encode()).decode()
    for rows in (
        [_row('config', odd), _row('config', config)],
        [_row('config', config), _row('config', odd)],
        [_row('a', odd), _row('config', config), _row('z', odd)],
    ):
        body = json.dumps({'rows': rows, 'ver': 3}).encode()
        client = RowClient(connections=_Connections(body))
        document, _ = await StoredConfiguration(rows=client).newest()
        assert document is not None
        assert document.revision == 12


# Guards against a register that one odd entry makes unreadable.
@pytest.mark.anyio
async def test_odd_entries_of_the_register_are_skipped() -> None:
    """Their keys name no address, or their values cannot be read."""
    keys = ('', '10.0.0.1:99999', '10.0.0.1:7620', 'x' * 200, '[' * 200)
    rows = [{**_row(key, '\u00fc'), 'table': 'nodes'} for key in keys]
    for has_more in (False, True):
        body = json.dumps({'rows': rows, 'ver': 3}).encode()
        last = json.dumps({'rows': [], 'ver': 3, 'hasMore': has_more}).encode()
        client = RowClient(connections=_Connections(body))
        registry = StoredNodeRegistry(rows=client)
        node = RegisteredNode(
            address=Address(host='10.0.0.1', port=7620), payload=b'', version=3
        )
        assert await registry.nodes() == [node]
        empty = RowClient(connections=_Connections(last))
        assert await StoredNodeRegistry(rows=empty).nodes() == []


@pytest.mark.anyio
async def test_feed_returns_changes_and_reports_lost_history() -> None:
    """The feed returns each change, and an error if changes were discarded."""
    listener = PlatformListener(app=platform_app(key=''))
    address = Address(host='127.0.0.1', port=listener.port)
    connections = ServiceConnections(address=address, key='')
    rows = RowClient(connections=connections)
    stored = StoredConfiguration(rows=rows)
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        assert (await stored.newest())[0] is None
        first = json.dumps(_configuration_fields('0000000c')).encode()
        await rows.write([(_CONFIG, first)])
        document, position = await stored.newest()
        assert document is not None
        assert document.revision == 12
        await rows.write([(_CONFIG, b'not a configuration')])
        unreadable, position = await stored.changes(position, 0)
        assert unreadable is None
        second = json.dumps(_configuration_fields('0000001f')).encode()
        await rows.write([(_CONFIG, second)])
        document, _ = await stored.changes(position, 0)
        assert document is not None
        assert document.revision == 31
        await connections.send(
            ServiceRequest(
                method='POST',
                path='/control',
                body=b'{"forget_history": true}',
            )
        )
        with pytest.raises(HistoryLostError):
            await stored.changes(position, 0)
        tasks.cancel_scope.cancel()
