"""Tests of nodes that use TLS.

They guard against nodes of one authority that cannot call each other, and
against nodes that accept peers of another authority or callers without the
administration key.
"""

from __future__ import annotations

import json
import ssl
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import TYPE_CHECKING

import anyio
import httpcore
import pytest
from click.testing import CliRunner
from expression import Ok

from savorystand.call import Importance
from savorystand.call import Response
from savorystand.console.application import savorystand
from savorystand.deduplication.claims import NoClaims
from savorystand.dispatch.local_pool import LocalPool
from savorystand.membership.directory import MemberDirectory
from savorystand.node.builder import build_node
from savorystand.settings.node import NodeSettings
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables
from savorystand.trust.certificates import Certificates
from savorystand.trust.certificates import authority_context
from tests.reporting.nodes import free_address
from tests.trust.authority import Authority

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping
    from pathlib import Path

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.gateway.target import TargetBinding
    from savorystand.kernel.kernel import Factory
    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import TlsSettings

_TABLES = Tables(
    revision=1,
    change_id='c',
    routes=(
        Route(
            name='lookup',
            method='GET',
            path='/lookup',
            pool='refill',
            importance=Importance.HIGH,
            idempotent=True,
        ),
    ),
    pools=(Pool(name='refill', slots=2, connections=9),),
)


class EchoTarget:
    """Target that responds to every call."""

    async def send(
        self, call: Call, execution_id: str, binding: TargetBinding
    ) -> Outcome:
        """Return a response whose body is the path of the call."""
        return Ok(Response(status=200, headers=(), body=call.path.encode()))


_REPLACEMENTS: Mapping[str, Factory] = MappingProxyType(
    {
        'target': lambda _: EchoTarget(),
        'claims': lambda _: NoClaims(),
        'follower': lambda _: None,
    },
)


def _settings(tls: TlsSettings, *seeds: NodeSettings) -> NodeSettings:
    return NodeSettings(
        failure_domain='Lau-1',
        region='Lau',
        callers=free_address(),
        local=free_address(),
        peers=free_address(),
        target=free_address(),
        seeds=tuple(seed.peers for seed in seeds),
        table_service='http://127.0.0.1:1',
        object_store='http://127.0.0.1:1',
        platform_key='p',
        admin_key='k1',
        tls=tls,
    )


@asynccontextmanager
async def _run_nodes(*nodes: NodeSettings) -> AsyncIterator[list[Kernel]]:
    kernels = []
    async with anyio.create_task_group() as tasks:
        for number, cfg in enumerate(nodes):
            kernel = build_node(
                cfg,
                node_id=f'node{number}',
                replace=_REPLACEMENTS,
            )
            kernel.find('tables', TablesHolder).install(_TABLES)
            await tasks.start(kernel.run, anyio.Event())
            kernels.append(kernel)
        yield kernels
        tasks.cancel_scope.cancel()


async def _request(
    cfg: NodeSettings, path: str, authority: Path, **headers: str
) -> httpcore.Response:
    context = authority_context(authority)
    async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
        address = cfg.callers.text()
        url = f'https://{address}{path}'
        return await pool.request('GET', url, headers=headers)


async def _until_serving(kernel: Kernel) -> None:
    directory = kernel.find('membership', MemberDirectory)
    while not directory.serving('refill'):
        await anyio.sleep(0.05)


async def _check_nodes(directory: Path) -> None:
    authority = Authority(directory, 'authority')
    other_authority = Authority(directory, 'other_authority')
    serving = _settings(authority.issue('serving'))
    entry = _settings(authority.issue('entry'), serving)
    foreign_node = _settings(other_authority.issue('stranger'), serving)
    async with _run_nodes(serving, entry, foreign_node) as kernels:
        kernels[0].find('local pool', LocalPool).announce('refill')
        with anyio.fail_after(20):
            await _until_serving(kernels[1])
            await _until_serving(kernels[2])
            response = await _request(entry, '/lookup/1', authority.path)
            assert (response.status, response.content) == (200, b'/lookup/1')
            refused = await _request(
                foreign_node, '/lookup/1', other_authority.path
            )
            assert refused.status == 503
        with pytest.raises(httpcore.ConnectError):
            await _request(entry, '/lookup/1', other_authority.path)
        old = await anyio.to_thread.run_sync(_caller_certificate, entry)
        authority.issue('entry')
        assert kernels[1].find('certificates', Certificates).refresh()
        assert await anyio.to_thread.run_sync(_caller_certificate, entry) != old
        endpoints = ('status', 'report', 'explain?request=a')
        for name in endpoints:
            path = f'/savorystand/{name}'
            for key in ('', 'Bearer k', 'Bearer k1x', 'k1', 'bearer k1'):
                denied = await _request(
                    entry, path, authority.path, authorization=key
                )
                assert denied.status == 401
                assert json.loads(denied.content) == {'error': 'key'}
        await anyio.to_thread.run_sync(
            _request_status, entry, authority.path, directory
        )


def _caller_certificate(cfg: NodeSettings) -> str:
    return ssl.get_server_certificate((cfg.callers.host, cfg.callers.port))


def _request_status(
    cfg: NodeSettings, authority: Path, directory: Path
) -> None:
    key = directory / 'operator'
    for text, code in (('k1\n', 0), ('k2\n', 3)):
        key.write_text(text)
        options = ['--node', cfg.callers.text(), '--key-file', str(key)]
        options += ['--authority', str(authority), '--json']
        outcome = CliRunner().invoke(savorystand, ['status', *options])
        assert outcome.exit_code == code, outcome.output


@pytest.mark.parametrize('use_uvloop', [False, True])
def test_nodes_with_tls(tmp_path: Path, *, use_uvloop: bool) -> None:
    """Calls pass only between nodes of the same authority.

    The administration endpoints require the complete key, even over TLS. A
    renewed certificate is presented to callers.
    """
    options = {'use_uvloop': use_uvloop}
    anyio.run(_check_nodes, tmp_path, backend_options=options)
