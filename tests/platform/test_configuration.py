"""Failures: the configuration in force is not what the operators wrote."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from savorystand.call import Importance
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.configuration import StoredConfiguration
from savorystand.platform.configuration import parse_configuration
from savorystand.platform.connections import ServiceConnections
from savorystand.platform.connections import ServiceRequest
from savorystand.platform.row_client import RowClient
from savorystand.platform.row_client import RowKey
from savorystand.settings.node import Address
from savorystand.store.errors import HistoryLostError
from savorystand.tables.document import TablesDocument

_CONFIG = RowKey(table='op', key='config')


def _fields(version: str, **path: Any) -> dict[str, Any]:
    plain = {
        'name': 'r-1',
        'prefix': '/a/',
        'routeKind': 'non_idempotent',
        'timeoutMs': 800,
        'targetLatencyMs': 1500,
        'priority': 0,
        'service': 'refill',
        'maxAttempts': 2,
    }
    deeper = {**plain, 'name': 'r-2', 'prefix': '/a/b/', 'priority': 7}
    deeper['routeKind'] = 'download'
    return {
        'version': version,
        'services': [{'name': 'refill', 'maxConnections': 754}],
        'virtualHosts': [
            {'host': 'A.example', 'paths': [{**plain, **path}, deeper]},
        ],
    }


def _document(fields: dict[str, Any]) -> TablesDocument:
    text = json.dumps(fields)
    return TablesDocument(revision=12, change_id='', routes=text, pools='')


def test_routes_by_host_and_longest_prefix() -> None:
    """A prefix matches only as a whole and only under its own host."""
    tables = parse_configuration(_document(_fields('0000000c')))
    route = tables.match_host('a.example', '/a/x?b=/a/b/')
    assert route is not None
    assert (route.name, route.idempotent) == ('r-1', False)
    assert route.importance is Importance.CRITICAL
    assert (route.limit_ms, route.objective_ms) == (800, 1500)
    assert route.max_targets == 2
    deeper = tables.match_host('a.example', '/a/b/')
    assert deeper is not None
    assert (deeper.name, deeper.idempotent) == ('r-2', True)
    assert deeper.importance is Importance.LOW
    assert tables.match_host('a.example', '/a') is None
    assert tables.match_host('a.example', '/ab/') is None
    assert tables.match_host('b.example', '/a/x') is None


def test_split_replaces_the_service() -> None:
    """A split route has no service of its own."""
    split = [{'service': 'one', 'weight': 90}, {'service': 'two', 'weight': 10}]
    fields = _fields('0000000c', service=None, weightedClusters=split)
    tables = parse_configuration(_document(fields))
    route = tables.match_host('a.example', '/a/')
    assert route is not None
    shares = [(share.pool, share.weight) for share in route.splits]
    assert shares == [('one', 90), ('two', 10)]


@pytest.mark.parametrize('text', ['', '[]', '{"virtualHosts": 1}', '{"a"'])
def test_other_bytes_are_no_configuration(text: str) -> None:
    """Bytes that cannot be read must leave the tables as they are."""
    document = TablesDocument(revision=1, change_id='', routes=text, pools='')
    with pytest.raises(ValueError, match=r'.'):
        parse_configuration(document)


@pytest.mark.anyio
async def test_feed_tells_of_changes_and_of_lost_history() -> None:
    """A change is announced once; forgotten history is told, not skipped."""
    listener = PlatformListener(app=platform_app(key=''))
    address = Address(host='127.0.0.1', port=listener.port)
    connections = ServiceConnections(address=address, key='')
    rows = RowClient(connections=connections)
    stored = StoredConfiguration(rows=rows, feed=rows)
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        assert (await stored.newest())[0] is None
        first = json.dumps(_fields('0000000c')).encode()
        await rows.write([(_CONFIG, first)])
        document, position = await stored.newest()
        assert document is not None
        assert document.revision == 12
        await rows.write([(_CONFIG, b'not a configuration')])
        unread, position = await stored.changes(position)
        assert unread is None
        second = json.dumps(_fields('0000001f')).encode()
        await rows.write([(_CONFIG, second)])
        document, _ = await stored.changes(position)
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
            await stored.changes(position)
        tasks.cancel_scope.cancel()
