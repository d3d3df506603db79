"""Failures: a silent node is taken for an idle one; codes mislead scripts."""

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


async def _run(
    command: click.Command, key_file: Path, *words: str
) -> tuple[int, Any]:
    words = (*words, '--key-file', str(key_file), '--json')
    invoke = partial(CliRunner().invoke, command, words)
    done = await anyio.to_thread.run_sync(invoke)
    return done.exit_code, json.loads(done.stdout)


async def _call(address: str, request_id: str) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request(
            'GET',
            f'http://{address}/lookup',
            headers={'savorystand-request-id': request_id},
        )


async def test_report_names_missing_nodes(key_file: Path) -> None:
    """Members that were not asked and nodes that are down are named."""
    gone = free_address().text()
    async with running_node('aa', member_of('bb')) as first:
        code, report = await _run(report_command, key_file, '--node', first)
        assert code == 1
        assert [gap['node'] for gap in report['missing']] == [
            'bb at 127.0.0.1:9'
        ]
        async with running_node('bb') as other:
            await _call(first, 'r1')
            await _call(other, 'r2')
            both = ('--node', first, '--node', other)
            code, report = await _run(report_command, key_file, *both)
            assert (code, report['missing']) == (0, [])
            counted = report['routes'][0]['long']
            assert (counted['total'], counted['bad']) == (2, 2)
            status = await _run(status_command, key_file, *both)
            explained = await _run(explain_command, key_file, 'r2', *both)
        code, report = await _run(
            report_command, key_file, *both, '--node', gone
        )
        assert code == 1
        assert gone in {gap['node'] for gap in report['missing']}
    assert status[0] == 0
    members = status[1]['nodes'][0]['members']
    assert [member['node'] for member in members] == ['aa', 'bb']
    assert explained[0] == 1
    events = {step['event'] for step in explained[1]['steps']}
    assert {'call', 'admission', 'fresh attempt'} <= events


async def test_unreachable_and_wrong_key(key_file: Path) -> None:
    """A report of nothing must not look like a healthy system."""
    gone = free_address().text()
    for command in (report_command, status_command):
        code, _ = await _run(command, key_file, '--node', gone)
        assert code == 3
    key_file.write_text('wrong')
    async with running_node('aa') as first:
        code, report = await _run(report_command, key_file, '--node', first)
    assert code == 3
    assert '401' in report['missing'][0]['why']


async def test_statsd_receives_deltas() -> None:
    """Metrics carry what was counted since the last second, once."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.setblocking(False)
        statsd = Address(host='127.0.0.1', port=sock.getsockname()[1])
        async with running_node('aa', statsd=statsd) as first:
            await _call(first, 'r1')
        with anyio.fail_after(5):
            await anyio.wait_readable(sock)
        lines = sock.recv(2048).decode().split('\n')
    assert 'savorystand.lookup.fresh:1|c' in lines
