"""``tables show --store`` with the configuration of the users' platform.

Guards against showing other tables than those in force. This happens if a part
of the configuration is translated wrongly or an incomplete one is accepted.
"""

from __future__ import annotations

import json
import tomllib

import anyio
from anyio.from_thread import start_blocking_portal
from click.testing import CliRunner

from savorystand.console.application import savorystand
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.row_client import RowClient
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.rows import RowKey

_CONFIGURATION = {  # noqa: WPS407
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


def _run_show(store: str, *options: str) -> dict[str, object]:
    args = ('tables', 'show', '--store', store, '--json', *options)
    run = CliRunner().invoke(savorystand, args)
    return {'code': run.exit_code, **json.loads(run.stdout or '{}')}


async def _write_configuration(
    address: Address, fields: dict[str, object]
) -> None:
    rows = RowClient(connections=ServiceConnections(address=address, key=''))
    key = RowKey(table='op', key='config')
    await rows.write([(key, json.dumps(fields).encode())])


def test_show_platform_configuration_as_tables() -> None:
    """The configuration in force is shown in the format of a revision."""
    listener = PlatformListener(app=platform_app(key=''))
    address = Address(host='127.0.0.1', port=listener.port)
    with start_blocking_portal() as portal:
        future, _ = portal.start_task(listener.run)
        assert _run_show(address.text())['code'] == 1
        anyio.run(_write_configuration, address, _CONFIGURATION)
        assert _run_show(address.text(), '--revision', '1')['code'] == 2
        output = _run_show(address.text())
        # An incomplete configuration: only the version.
        anyio.run(_write_configuration, address, {'version': '0000000d'})
        assert _run_show(address.text())['code'] == 1
        future.cancel()
    assert output['revision'] == 12
    first, second = tomllib.loads(str(output['routes']))['route']
    assert first == {
        'name': 'r-1',
        'match': 'a.example/a/',
        'pool': 'refill',
        'importance': 'critical',
        'idempotent': False,
        'limit_ms': 800,
    }
    assert second['splits'] == {'refill': 90, 'new "one"': 10}
    pools = tomllib.loads(str(output['pools']))['pool']
    assert pools == [{'name': 'refill', 'slots': 1, 'connections': 754}]
