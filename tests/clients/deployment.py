"""Two node processes, a worker beside each, and a stand-in of the store.

Callers connect to the first node. Their requests are served by the worker
beside the second one, so that they pass through both.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
import time
from contextlib import asynccontextmanager
from contextlib import suppress
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from savorystand.lab.children import Child
from savorystand.lab.http_client import REQUEST_ERRORS
from savorystand.lab.http_client import HttpClient
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.row_client import RowClient
from savorystand.platform.settings import PATH_VARIABLE
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = 'clients.example'
BYTES_PER_MB = 1_000_000
_CALLER_PORT = 7631
_READY_PORT = 7632
_ADMIN_PORT = 7633
_WORKER_PORT = 7634
_SLOTS = 2000
_POOLS = ('idle', 'served')
_MAX_BODY_BYTES = 8 * 1024 * 1024
_POLL_SECONDS = 0.1
_ROUTES = ('small', 'large')
_START_SECONDS = 60
_SAMPLE_SECONDS = 0.02
_ATTEMPTS = 20
_ATTEMPT_MS = 5000
_SETTINGS = """
ip = "{host}"
zone = "a"
region = "a"
portRange = [7630, 7630]
seeds = []
appAddr = "{host}:7634"
service = "{pool}"
bounds = ["drainMs=2500", "graceS=6", "retryBudgetRatio=0.2", "budgetSlack=40"]

[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}

[listenAddrs]
inbound = "{host}:7635"
outbound = "{host}:7631"
ready = "{host}:7632"
admin = "{host}:7633"

[platform]
address = "{store}"
"""


class Worker:
    """Reads requests to their end and answers with ``answer_bytes`` bytes.

    Each answer has ``answer_headers`` besides the id of its request and its
    length. While ``released`` is not set it keeps complete requests waiting.
    """

    def __init__(self) -> None:
        self.answer_bytes = 2
        self.answer_headers = b''
        self.released = asyncio.Event()
        self.released.set()
        self.waiting = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        with suppress(OSError, EOFError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                await _discard(reader, int(_header(head, 'content-length')))
                self.waiting += 1
                await self.released.wait()
                size = 2 if '/small/' in head else self.answer_bytes
                writer.write(
                    b'HTTP/1.1 200 OK\r\nrequest-id: %s\r\n'
                    b'%bcontent-length: %d\r\n\r\n'
                    % (
                        _header(head, 'request-id').encode('latin-1'),
                        self.answer_headers,
                        size,
                    )
                )
                writer.write(bytes(size))
                await writer.drain()
        writer.close()


class Node:
    """One node process and the highest figures that it has shown."""

    def __init__(self, settings: Path, host: str) -> None:
        self.child = Child(
            name=settings.stem,
            arguments=[],
            log=settings.with_suffix('.log'),
            module='savorystand.lab.sidecar',
            variables={PATH_VARIABLE: str(settings)},
        )
        self.callers = Address(host=host, port=_CALLER_PORT)
        self._ready = HttpClient(address=Address(host=host, port=_READY_PORT))
        self._pid = self.child._process.pid
        # Local addresses of /proc/net/tcp are in host byte order.
        self._address = bytes(reversed(ip_address(host).packed)).hex().upper()
        self.most_memory = 0
        self.most_descriptors = 0

    async def is_ready(self) -> bool:
        """Return True if the node reports that it is ready."""
        try:
            response = await self._ready.send('GET', '/readyz', timeout_ms=500)
        except REQUEST_ERRORS:
            return False
        return response.status == 200

    def sample(self) -> None:
        """Update the figures; those of a process that has ended stay."""
        with suppress(OSError):
            status = Path(f'/proc/{self._pid}/status').read_text()
            descriptors = len(os.listdir(f'/proc/{self._pid}/fd'))
            resident = re.search(r'VmRSS:\s+(\d+) kB', status)
            if resident is not None:
                memory = int(resident[1]) * 1024 + self._unread_bytes()
                self.most_memory = max(self.most_memory, memory)
                self.most_descriptors = max(self.most_descriptors, descriptors)

    def end(self) -> None:
        """Kill the process and print its figures, for a test that fails."""
        self.child.kill()
        memory_mb = self.most_memory // BYTES_PER_MB
        sys.stderr.write(
            f'{memory_mb} MB, {self.most_descriptors} descriptors\n'
        )

    def _unread_bytes(self) -> int:
        total = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            local, _, state, queues = line.split()[1:5]
            # In a listening socket the queue holds connections.
            if local.startswith(self._address) and state != '0A':
                total += int(queues.partition(':')[2], 16)
        return total


class Deployment:
    """Both nodes, with the bounds that are set for each process."""

    def __init__(self, *, memory_mb: int, max_fds: int) -> None:
        self.worker = Worker()
        self.nodes: list[Node] = []
        self._memory_bytes = memory_mb * BYTES_PER_MB
        self._max_fds = max_fds

    @property
    def entry(self) -> Address:
        """Return the address at which callers connect."""
        return self.nodes[0].callers

    async def ordinary_status(self, path: str = '/small/a') -> int:
        """Return the status of an ordinary request.

        Like the callers of the platform it comes again, on a new connection,
        as long as it is refused or the connection fails.
        """
        status = 0
        for _ in range(_ATTEMPTS):
            client = HttpClient(address=self.entry)
            try:
                response = await client.send(
                    'GET',
                    path,
                    headers=(
                        ('request-id', 'ordinary'),
                        ('deadline-ms', str(_ATTEMPT_MS)),
                    ),
                    timeout_ms=_ATTEMPT_MS + 1000,
                )
            except REQUEST_ERRORS:
                await anyio.sleep(_POLL_SECONDS)
                continue
            finally:
                await client.close()
            status = response.status
            if status == 200:
                break
            await anyio.sleep(
                float(response.headers.get('retry-after', _POLL_SECONDS))
            )
        return status

    async def wait_until_served(self) -> None:
        """Wait until both nodes are ready and requests pass through them."""
        with anyio.fail_after(_START_SECONDS):
            for node in self.nodes:
                while not await node.is_ready():
                    await anyio.sleep(_POLL_SECONDS)
            while await self.ordinary_status() != 200:
                await anyio.sleep(_POLL_SECONDS)

    def check(self) -> None:
        """Check that both processes live and have stayed within the bounds."""
        for number, node in enumerate(self.nodes):
            assert node.child.running, f'node {number} has ended'
            assert node.most_memory <= self._memory_bytes, f'node {number}'
            assert node.most_descriptors <= self._max_fds, f'node {number}'

    async def sample_always(self) -> None:
        """Measure both processes until cancelled."""
        while True:
            for node in self.nodes:
                node.sample()
            await anyio.sleep(_SAMPLE_SECONDS)


@asynccontextmanager
async def running_deployment(
    directory: Path,
    *,
    memory_mb: int = 120,
    max_fds: int = 4100,
    max_body_bytes: int = _MAX_BODY_BYTES,
) -> AsyncIterator[Deployment]:
    """Run both nodes; yield once requests are served."""
    deployment = Deployment(memory_mb=memory_mb, max_fds=max_fds)
    listener = PlatformListener(app=platform_app(key=''))
    store = Address(host='127.0.0.1', port=listener.port)
    network = 200 + os.getpid() % 50
    hosts = [f'127.{network}.0.{number}' for number in (1, 2)]
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        await _configure(store, (HOST, hosts[0]), max_body_bytes)
        try:
            for host, pool in zip(hosts, _POOLS, strict=True):
                server = await asyncio.start_server(
                    deployment.worker.serve, host, _WORKER_PORT
                )
                tasks.start_soon(server.serve_forever)
                settings = directory / f'{pool}.toml'
                settings.write_text(
                    _SETTINGS.format(
                        host=host,
                        pool=pool,
                        store=store.text(),
                        memory_mb=memory_mb,
                        max_fds=max_fds,
                    )
                )
                deployment.nodes.append(Node(settings, host))
                tasks.start_soon(_announce_always, host, pool)
            tasks.start_soon(deployment.sample_always)
            await deployment.wait_until_served()
            yield deployment
        finally:
            for node in deployment.nodes:
                node.end()
            tasks.cancel_scope.cancel()


async def _configure(
    store: Address, hosts: tuple[str, ...], max_body_bytes: int
) -> None:
    document = {
        'version': '00000001',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': max_body_bytes,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'services': [
            {'name': 'idle', 'maxConnections': 4000},
            {'name': 'served', 'maxConnections': 4000},
        ],
        'virtualHosts': [
            {'host': host, 'paths': [_route(host, name) for name in _ROUTES]}
            for host in hosts
        ],
    }
    rows = RowClient(connections=ServiceConnections(address=store, key=''))
    key = RowKey(table='op', key='config')
    await rows.write([(key, json.dumps(document).encode())])


def _route(host: str, name: str) -> dict[str, object]:
    return {
        'name': f'{host}-{name}',
        'prefix': f'/{name}/',
        'service': 'served',
        'routeKind': 'safe',
        'timeoutMs': 60000,
        'targetLatencyMs': 60000,
        'priority': 2,
        'maxAttempts': 2,
    }


async def _announce_always(host: str, pool: str) -> None:
    client = HttpClient(address=Address(host=host, port=_ADMIN_PORT))
    address = Address(host=host, port=_WORKER_PORT)
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        fields = {
            'service': pool,
            'address': address.text(),
            'zone': 'a',
            'version': 'v1',
            'capacity': _SLOTS,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': sequence,
            'born': born,
        }
        with suppress(*REQUEST_ERRORS):
            await client.send(
                'POST',
                f'/Instances.Heartbeat/i-{pool}',
                body=json.dumps(fields).encode(),
                timeout_ms=1000,
            )
        await anyio.sleep(0.4)


async def _discard(reader: asyncio.StreamReader, size: int) -> None:
    while size:
        received = await reader.read(min(size, 65536))
        if not received:
            raise EOFError
        size -= len(received)


def _header(head: str, name: str) -> str:
    found = re.search(rf'(?im)^{name}: *([^\r\n]*)', head)
    return found[1].rstrip(' \t') if found else '0'
