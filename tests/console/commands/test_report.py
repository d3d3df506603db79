"""Reports on several nodes when some of them do not respond.

Guards against a report that leaves out a node without saying so, as a node
that does not respond then looks like an idle one, and against exit codes that
tell scripts that such a report is complete.
"""

from __future__ import annotations

import json
import socket
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import anyio
import httpcore
import pytest
from click.testing import CliRunner

from savorystand.console.commands.explain import explain_command
from savorystand.console.commands.report import report_command
from savorystand.console.commands.status import status_command
from savorystand.settings.node import Address
from tests.reporting.builders import member_of
from tests.reporting.nodes import ADMIN_KEY
from tests.reporting.nodes import free_address
from tests.reporting.nodes import running_node

if TYPE_CHECKING:
    from pathlib import Path

    import click

pytestmark = pytest.mark.anyio


@pytest.fixture
def key_file(tmp_path: Path) -> Path:
    """Return a file with the administration key."""
    path = tmp_path / 'key'
    path.write_text(f'{ADMIN_KEY}\n')
    return path


async def _run_json(
    command: click.Command, key_file: Path, *args: str
) -> tuple[int, Any]:
    args = (*args, '--key-file', str(key_file), '--json')
    invoke = partial(CliRunner().invoke, command, args)
    run = await anyio.to_thread.run_sync(invoke)
    return run.exit_code, json.loads(run.stdout)


async def _send_call(address: str, request_id: str) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request(
            'GET',
            f'http://{address}/lookup',
            headers={'savorystand-request-id': request_id},
        )


async def test_report_names_missing_nodes(key_file: Path) -> None:
    """The report names members that were not queried and stopped nodes."""
    stopped_address = free_address().text()
    async with running_node('aa', member_of('bb')) as first_address:
        code, report = await _run_json(
            report_command, key_file, '--node', first_address
        )
        assert code == 1
        assert [missing_node['node'] for missing_node in report['missing']] == [
            'bb at 127.0.0.1:9'
        ]
        async with running_node('bb') as second_address:
            await _send_call(first_address, 'r1')
            await _send_call(second_address, 'r2')
            both_nodes = ('--node', first_address, '--node', second_address)
            code, report = await _run_json(
                report_command, key_file, *both_nodes
            )
            assert (code, report['missing']) == (0, [])
            long_period = report['routes'][0]['long']
            assert (long_period['total'], long_period['bad']) == (2, 2)
            status = await _run_json(status_command, key_file, *both_nodes)
            explained = await _run_json(
                explain_command, key_file, 'r2', *both_nodes
            )
        code, report = await _run_json(
            report_command, key_file, *both_nodes, '--node', stopped_address
        )
        assert code == 1
        assert stopped_address in {
            missing_node['node'] for missing_node in report['missing']
        }
    assert status[0] == 0
    members = status[1]['nodes'][0]['members']
    assert [member['node'] for member in members] == ['aa', 'bb']
    assert explained[0] == 1
    events = {step['event'] for step in explained[1]['steps']}
    assert {'call', 'admission', 'fresh attempt'} <= events


async def test_unreachable_and_wrong_key(key_file: Path) -> None:
    """A report without any node does not look like one of healthy nodes."""
    stopped_address = free_address().text()
    for command in (report_command, status_command):
        code, _ = await _run_json(command, key_file, '--node', stopped_address)
        assert code == 3
    key_file.write_text('wrong')
    async with running_node('aa') as first_address:
        code, report = await _run_json(
            report_command, key_file, '--node', first_address
        )
    assert code == 3
    assert '401' in report['missing'][0]['why']


async def test_statsd_receives_deltas() -> None:
    """StatsD receives the counts of the last second, each of them once."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.setblocking(False)
        statsd = Address(host='127.0.0.1', port=sock.getsockname()[1])
        async with running_node('aa', statsd=statsd) as first_address:
            await _send_call(first_address, 'r1')
        with anyio.fail_after(5):
            await anyio.wait_readable(sock)
        lines = sock.recv(2048).decode().split('\n')
    assert 'savorystand.lookup.fresh:1|c' in lines
