"""Stand-ins for the scripts of the review: store, workers, clients, platform.

Each machine has a loopback address of its own, with the same ports on all of
them. Only the node processes are the project's own; they are started with the
command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2500, 'graceS': 6, 'lossSlackMs': 200,
    'configApplyMs': 2500, 'rollbackSlackMs': 250, 'maxSkewMs': 5000,
    'retryBudgetRatio': 0.2, 'budgetWindowS': 10, 'budgetSlack': 47,
    'recoverS': 15,
}
MEMORY_MB = 300
# Number of pieces in which a client sends a request.
PARTS = 50
START = time.monotonic()


def now() -> float:
    """Return seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Events of a run, written to record.txt at the end."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str]] = []

    def add(self, text: str) -> None:
        self.lines.append((now(), text))

    def write(self, folder: Path) -> None:
        lines = [f'{at:9.3f} {text}\n' for at, text in self.lines]
        (folder / 'record.txt').write_text(''.join(lines))


# HTTP -----------------------------------------------------------------------


@dataclass
class Message:
    start: str
    headers: dict[str, str]
    body: bytes = b''


async def read_head(reader: asyncio.StreamReader) -> Message:
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = raw[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    return Message(start, headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    message = await read_head(reader)
    size = int(message.headers.get('content-length', 0))
    message.body = await reader.readexactly(size)
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def post(host: str, port: int, path: str, document: object = None,
               timeout: float = 1.0) -> int:
    """Send one request on a new connection; return the status, 0 for none."""
    body = b'' if document is None else json.dumps(document).encode()
    return await _simple(host, port, f'POST {path} HTTP/1.1', body, timeout)


async def _simple(host: str, port: int, start: str, body: bytes,
                  timeout: float) -> int:
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(encode(start, {
                'host': f'{host}:{port}', 'connection': 'close',
                'content-type': 'application/json'}, body))
            message = await read_message(reader)
            return int(message.start.split()[1])
    except (OSError, EOFError, ValueError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()


# Store ----------------------------------------------------------------------


class Store:
    """Rows with a feed, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes, part: str = '') -> None:
        self.version += 1
        self._put({'table': table, 'part': part, 'key': key,
                   'value': base64.b64encode(value).decode()})
        self._notify()

    def _put(self, row: dict) -> None:
        row['ver'] = self.version
        self.rows[row['table'], row['part'], row['key']] = row

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                message = await read_message(reader)
                method, target, _ = message.start.split(' ')
                status, document = await self._answer(target, message.body)
                document |= {'ver': self.version, 'nowMs': int(now() * 1000)}
                await asyncio.sleep(0.004)
                writer.write(encode(
                    f'HTTP/1.1 {status} X', {'content-type': 'application/json'},
                    json.dumps(document).encode()))
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, target: str, body: bytes) -> tuple[int, dict]:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        if url.path == '/rows-tx':
            return self._transact(json.loads(body))
        scope = (query.get('table', ''), query.get('part', ''))
        if url.path == '/rows-get':
            end = query.get('target')
            rows = [row for name, row in sorted(self.rows.items())
                    if name[:2] == scope and name[2] >= query.get('from', '')
                    and (end is None or name[2] < end)]
            limit = int(query.get('limit', 500))
            return 200, {'rows': rows[:limit], 'hasMore': len(rows) > limit}
        if url.path == '/rows-feed':
            end_s = now() + min(30.0, float(query.get('waitMs', 0)) / 1000)
            while True:
                rows = [row for row in self.rows.values()
                        if row['table'] == scope[0]
                        and row['ver'] > int(query['after'])]
                if rows or now() >= end_s:
                    rows.sort(key=lambda row: row['ver'])
                    return 200, {'rows': rows}
                try:
                    async with asyncio.timeout(end_s - now()):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        return 404, {}

    def _transact(self, fields: dict) -> tuple[int, dict]:
        def name(row: dict) -> tuple[str, str, str]:
            return row['table'], row.get('part', ''), row['key']

        current = [self.rows[name(row)] for row in fields['precondition']
                   if name(row) in self.rows]
        for row in fields['precondition']:
            if self.rows.get(name(row), {}).get('ver', 0) != row['ver']:
                return 412, {'rows': current}
        self.version += 1
        for row in fields['writes']:
            self._put({'table': row['table'], 'part': row.get('part', ''),
                       'key': row['key'], 'value': row['value']})
        for row in fields['deletes']:
            self.rows.pop(name(row), None)
        self._notify()
        return 200, {}


# Workers --------------------------------------------------------------------


@dataclass
class Run:
    request_id: str
    worker: str
    begin: float
    end: float | None = None
    how: str = ''


class Worker:
    """An application worker: slots, a queue, heartbeats and leaving."""

    def __init__(self, lab: Lab, machine: Machine, *, name: str, capacity: int,
                 work_s: float) -> None:
        self.lab = lab
        self.machine = machine
        self.name = name
        self.capacity = capacity
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        self.slots = asyncio.Semaphore(capacity)
        self.connections: set = set()
        self.server = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, self.machine.host, self.lab.port('app'),
            limit=1 << 20)
        self.lab.spawn(self._beat())

    def beat_document(self, state: str = 'ready') -> dict:
        self.sequence += 1
        return {
            'service': self.machine.service,
            'address': f'{self.machine.host}:{self.lab.port("app")}',
            'zone': self.machine.zone, 'version': 'v1',
            'capacity': self.capacity, 'state': state, 'warmupLeftMs': 0,
            'sequence': self.sequence, 'born': self.born,
        }

    async def send_beat(self, document: dict) -> int:
        return await post(self.machine.host, self.lab.port('admin'),
                          f'/Instances.Heartbeat/{self.name}', document)

    async def deregister(self) -> int:
        return await post(self.machine.host, self.lab.port('admin'),
                          f'/Instances.Deregister/{self.name}')

    async def _beat(self) -> None:
        while self.beating:
            await self.send_beat(self.beat_document())
            await asyncio.sleep(HEARTBEAT_S)

    def exit(self) -> None:
        """End as a process ends: the listener and all connections close."""
        self.beating = False
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                answer = await self._handle(message, reader)
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def _handle(self, message: Message, reader) -> bytes:
        request_id = message.headers.get('request-id', '')
        expected = message.headers.get('expected-instance', self.name)
        load = {'request-id': request_id}
        if expected != self.name:
            self.lab.record.add(f'worker {self.name} 421 {request_id}')
            return encode('HTTP/1.1 421 Misdirected Request',
                          load | {'instance-id': self.name})
        self.lab.arrivals.append((now(), request_id, self.name))
        self.lab.record.add(f'worker {self.name} got {request_id}')
        work = asyncio.ensure_future(self._work(request_id))
        # Most workers drop a request when its connection closes.
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, closed}, return_when='FIRST_COMPLETED')
        if not work.done():
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
            raise EOFError
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        body = f'{request_id} {self.name} '.encode()
        body += b'.' * self.lab.response_bytes
        return encode('HTTP/1.1 200 OK', load | {
            'response-signature': f'sig.{request_id}'}, body)

    async def _work(self, request_id: str) -> None:
        async with self.slots:
            run = Run(request_id, self.name, now())
            self.lab.runs.append(run)
            self.lab.record.add(f'worker {self.name} runs {request_id}')
            try:
                await asyncio.sleep(self.work_s)
                run.how = 'done'
            except asyncio.CancelledError:
                run.how = 'dropped'
                raise
            finally:
                run.end = now()
                self.lab.record.add(
                    f'worker {self.name} {run.how} {request_id}')


# Machines -------------------------------------------------------------------


class Machine:
    """One sidecar machine: its node process, as the platform runs it."""

    def __init__(self, lab: Lab, number: int, service: str, zone: str) -> None:
        self.lab = lab
        self.number = number
        self.host = f'{lab.prefix}.{number}'
        self.service = service
        self.zone = zone
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0
        self.misses = 2
        self.in_service = False
        self.peak_mb = 0.0
        self.wanted = False
        self.own_ends: list[float] = []

    def settings(self) -> str:
        lab = self.lab
        bounds = json.dumps([f'{name}={bound}' for name, bound in BOUNDS.items()])
        zones = '\n'.join(f'{zone} = "region-1"' for zone in lab.zones)
        return f'''
nodeName = "sidecar-{self.number}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{self.host}"
zone = "{self.zone}"
region = "region-1"
portRange = [{lab.port('peer')},{lab.port('peer') + 15}]
seeds = {json.dumps([f'{machine.host}:{lab.port("admin")}' for machine in lab.machines[:3]])}
bootstrap = {'true' if not lab.bootstrapped else 'false'}
inFailureBudget = false
discovery = "static"
entry = "static"
heartbeatMs = {int(HEARTBEAT_S * 1000)}
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = {bounds}
appAddr = "{self.host}:{lab.port('app')}"
service = "{self.service}"
[zones]
{zones}
[listenAddrs]
inbound = "{self.host}:{lab.port('inbound')}"
outbound = "{self.host}:{lab.port('outbound')}"
ready = "{self.host}:{lab.port('ready')}"
admin = "{self.host}:{lab.port('admin')}"
[limits]
cpuShare = 0.86
cores = 2
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = "{lab.prefix}.250:{lab.port('store')}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partitionWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
'''

    def start(self) -> None:
        path = self.lab.folder / f'boot-{self.number}.toml'
        path.write_text(self.settings())
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SAVORYSTAND_NODE_FILE'] = str(path)
        log = (self.lab.folder / f'node-{self.number}.log').open('ab')
        self.process = subprocess.Popen(
            ['python3', '-S', '-m', 'savorystand.node'], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.started_at = now()
        self.wanted = True
        self.lab.record.add(f'platform starts node {self.number}')

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.lab.record.add(
                f'platform sends {number.name} to node {self.number}')
            self.process.send_signal(number)

    def kill(self) -> None:
        self.wanted = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except (AttributeError, OSError):
            return 0.0
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def watch(self) -> None:
        """Ask for readiness once a second, as the platform does."""
        while True:
            begin = now()
            status = await _simple(
                self.host, self.lab.port('ready'), 'GET /readyz HTTP/1.1', b'',
                0.9)
            self.misses = 0 if status == 200 else self.misses + 1
            in_service = self.misses < 2
            if in_service != self.in_service:
                self.in_service = in_service
                self.lab.record.add(
                    f'platform {"adds" if in_service else "removes"} '
                    f'node {self.number}')
            await asyncio.sleep(max(0.0, 1 - (now() - begin)))


# Clients --------------------------------------------------------------------


@dataclass
class Sent:
    """One client attempt and what became of it."""

    request_id: str
    machine: int
    # Sent on a connection that is kept for further requests.
    kept: bool
    begin: float
    end: float | None = None
    status: int | None = None
    how: str = ''
    closes: bool = False


class Lab:
    """Everything that one script runs."""

    def __init__(self, *, zones: tuple[str, ...] = ('a', 'b')) -> None:
        self.record = Record()
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.machines: list[Machine] = []
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str, str]] = []
        self.sent: list[Sent] = []
        self.tasks: set = set()
        self.response_bytes = 300
        self.bootstrapped = False
        self.store = Store()
        self._count = 0
        self._version = 0
        self.prefix, self._base = _free_place()

    def port(self, name: str) -> int:
        names = ('store', 'app', 'ready', 'admin', 'inbound', 'outbound')
        if name == 'peer':
            return self._base + 10
        return self._base + names.index(name)

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def add_machine(self, service: str, zone: str) -> Machine:
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def configure(self, services: list[str], paths: list[dict]) -> None:
        """Write the next configuration, as the operator does."""
        self._version += 1
        self.store.put('op', 'config', json.dumps({
            'version': f'{self._version:08x}',
            'services': [{'name': name, 'healthPath': '/healthz',
                          'maxConnections': 754, 'protocol': 'h1', 'tls': False}
                         for name in services],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
            'virtualHosts': [{'host': 'review.example', 'paths': paths}],
        }).encode())
        self.record.add(f'operator writes configuration {self._version}')

    async def start(self) -> None:
        """Start the store and all nodes; wait until they are ready."""
        await asyncio.start_server(
            self.store.serve, f'{self.prefix}.250', self.port('store'),
            limit=1 << 20)
        for machine in self.machines:
            machine.start()
            self.spawn(machine.watch())
        self.bootstrapped = True
        await self.until(lambda: all(
            machine.in_service for machine in self.machines), 20)

    async def until(self, condition, seconds: float) -> None:
        end = now() + seconds
        while not condition():
            if now() > end:
                raise CannotRun('the nodes did not become ready')
            await asyncio.sleep(0.05)

    async def connect(self, machine: Machine):
        """Open a client's connection; None if it is not established."""
        try:
            async with asyncio.timeout(1):
                return await asyncio.open_connection(
                    machine.host, self.port('outbound'), limit=1 << 20)
        except (OSError, TimeoutError):
            return None

    async def request(self, machine: Machine, path: str, *, deadline_s: float,
                      body: bytes = b'', send_s: float = 0,
                      kept=None) -> Sent | None:
        """Send one client attempt and wait for its end.

        It uses the open connection ``kept``, or a new one. The body is sent
        evenly over ``send_s`` seconds. None if there is no connection.
        """
        stream = kept or await self.connect(machine)
        if stream is None:
            return None
        reader, writer = stream
        self._count += 1
        request_id = f'{self._count:08x}{random.getrandbits(32):08x}'
        sent = Sent(request_id, machine.number, kept is not None, now())
        self.sent.append(sent)
        try:
            async with asyncio.timeout(deadline_s):
                await _send_evenly(writer, encode(f'POST {path} HTTP/1.1', {
                    'host': 'review.example', 'request-id': request_id,
                    'deadline-ms': str(int(deadline_s * 1000))}, body), send_s)
                self.record.add(
                    f'client {request_id} sent POST {path} with {len(body)} '
                    f'bytes to node {machine.number}')
                message = await read_message(reader)
                sent.status = int(message.start.split()[1])
                sent.how = f'status {sent.status}'
                sent.closes = message.headers.get('connection') == 'close'
        except TimeoutError:
            sent.how = 'time limit'
        except (OSError, EOFError, ValueError):
            sent.how = 'closed without a whole answer'
        finally:
            if kept is None:
                writer.transport.abort()
            sent.end = now()
            self.record.add(f'client {request_id} {sent.how}')
        return sent

    async def keep_sending(self, machine: Machine, path: str, *,
                           deadline_s: float, body: bytes,
                           until: float) -> None:
        """Send requests on a kept connection; replace it when it has ended."""
        while now() < until:
            stream = None
            # Clients open connections only to a machine that is ready.
            if machine.in_service and machine.running():
                stream = await self.connect(machine)
            while stream is not None and now() < until:
                sent = await self.request(machine, path, body=body,
                                          deadline_s=deadline_s, kept=stream)
                if sent.status is None or sent.closes:
                    break
                await asyncio.sleep(0.05)
            if stream is not None:
                stream[1].transport.abort()
            await asyncio.sleep(0.3)

    async def stop(self) -> None:
        for task in tuple(self.tasks):
            task.cancel()
        for machine in self.machines:
            machine.kill()


async def _send_evenly(writer, encoded: bytes, send_s: float) -> None:
    part = len(encoded) // PARTS + 1
    for start in range(0, len(encoded), part):
        writer.write(encoded[start:start + part])
        await writer.drain()
        await asyncio.sleep(send_s / PARTS)


class CannotRun(Exception):
    """The case could not be run."""


def _free_place() -> tuple[str, int]:
    """Return a loopback prefix and a first port that nobody uses."""
    for _ in range(50):
        prefix = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'
        base = random.randrange(12000, 30000)
        try:
            for number in (*range(1, 9), 250):
                for port in range(base, base + 11):
                    with socket.socket() as sock:
                        sock.bind((f'{prefix}.{number}', port))
            return prefix, base
        except OSError:
            continue
    raise CannotRun('no free ports')


def main(case, folder: Path, *, trouble: bool) -> None:
    """Run a case; exit with 1 if it broke the rule, 0 if not, 2 if it failed."""
    if not (ROOT / 'target' / 'deps' / 'savorystand').is_dir():
        sys.stderr.write('run deploy/build.sh first\n')
        sys.exit(2)

    async def run() -> int:
        lab = Lab()
        # The nodes end with the script, however it is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(115):
                return int(await case(lab, trouble))
        except (CannotRun, TimeoutError) as exc:
            lab.record.add(f'could not run: {exc!r}')
            sys.stderr.write(f'could not run: {exc!r}\n')
            return 2
        finally:
            await lab.stop()
            lab.record.write(folder)

    sys.exit(asyncio.run(run()))
