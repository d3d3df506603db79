"""Failures: operators see other tables than those in force."""

from __future__ import annotations

import json
import tomllib

import anyio
from anyio.from_thread import start_blocking_portal
from click.testing import CliRunner

from savorystand.console.application import savorystand
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.connections import ServiceConnections
from savorystand.platform.row_client import RowClient
from savorystand.platform.row_client import RowKey
from savorystand.settings.node import Address

_CONFIG = {  # noqa: WPS407
    'version': '0000000c',
    'services': [{'name': 'refill', 'maxConnections': 754}],
    'virtualHosts': [
        {
            'host': 'a.example',
            'paths': [
                {
                    'name': 'r-1',
                    'prefix': '/a/',
                    'routeKind': 'non_idempotent',
                    'timeoutMs': 800,
                    'priority': 0,
                    'service': 'refill',
                },
                {
                    'name': 'r-2',
                    'prefix': '/b/',
                    'routeKind': 'safe',
                    'weightedClusters': [
                        {'service': 'refill', 'weight': 90},
                        {'service': 'new "one"', 'weight': 10},
                    ],
                },
            ],
        },
    ],
}


def _show(store: str, *options: str) -> dict[str, object]:
    args = ('tables', 'show', '--store', store, '--json', *options)
    shown = CliRunner().invoke(savorystand, args)
    return {'code': shown.exit_code, **json.loads(shown.stdout or '{}')}


async def _write(address: Address, fields: dict[str, object]) -> None:
    rows = RowClient(connections=ServiceConnections(address=address, key=''))
    key = RowKey(table='op', key='config')
    await rows.write([(key, json.dumps(fields).encode())])


def test_configuration_of_the_platform_is_shown_as_tables() -> None:
    """The configuration in force must read like any other revision."""
    listener = PlatformListener(app=platform_app(key=''))
    address = Address(host='127.0.0.1', port=listener.port)
    with start_blocking_portal() as portal:
        future, _ = portal.start_task(listener.run)
        assert _show(address.text())['code'] == 1
        anyio.run(_write, address, _CONFIG)
        assert _show(address.text(), '--revision', '1')['code'] == 2
        shown = _show(address.text())
        # Written by hand, without the rest.
        anyio.run(_write, address, {'version': '0000000d'})
        assert _show(address.text())['code'] == 1
        future.cancel()
    assert shown['revision'] == 12
    first, second = tomllib.loads(str(shown['routes']))['route']
    assert first == {
        'name': 'r-1',
        'match': 'a.example/a/',
        'pool': 'refill',
        'importance': 'critical',
        'idempotent': False,
        'limit_ms': 800,
    }
    assert second['splits'] == {'refill': 90, 'new "one"': 10}
    pools = tomllib.loads(str(shown['pools']))['pool']
    assert pools == [{'name': 'refill', 'slots': 1, 'connections': 754}]
