"""Stand-ins for the scripts of this review: store, workers, clients, nodes.

They follow the users' pages and need the standard library alone. Each machine
of a stage has a loopback address of its own. Nodes are started with the command
of the deploy file; the other parts run in the process of the script.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
DRAIN_S = 2.5
GRACE_S = 6.0
# contactMs: a machine is in touch this long after its node was started.
CONTACT_S = 3.0
MEMORY_MB = 300
HOST_NAME = 'stage.example'
BOUNDS = [
    'seedLagS=3', 'reuseAfterS=2', 'contactMs=3000', 'ackMs=4000',
    'catchUpS=4', 'drainMs=2500', 'graceS=6', 'lossSlackMs=200',
    'configApplyMs=2500', 'rollbackSlackMs=250', 'maxSkewMs=5000',
    'retryBudgetRatio=0.2', 'budgetWindowS=10', 'budgetSlack=47',
    'recoverS=15',
]


class CannotRun(Exception):
    """The case could not be run on this machine (exit code 2)."""


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self._start = time.monotonic()
        self._file = path.open('w')

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


def head_fields(head):
    """Return the first line and the headers (names in lower case) of a head."""
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = [line.split(':', 1) for line in lines if line]
    return first, {name.strip().lower(): text.strip() for name, text in pairs}


async def read_body(reader, fields, piece=65536, pause_s=0.0):
    """Return the length of a body that is read, in pieces with pauses."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        total = 0
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            await reader.readexactly(size + 2)
            total += size
            if not size:
                return total
    left = length = int(fields.get('content-length', '0'))
    while left:
        got = await reader.read(min(left, piece))
        if not got:
            raise asyncio.IncompleteReadError(b'', left)
        left -= len(got)
        if pause_s:
            await asyncio.sleep(pause_s)
    return length


class Store:
    """The platform's store: rows and their feed, as PROTOCOL.md has them."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.start = time.monotonic()

    def put(self, table, key, text):
        """Write a row as the operator."""
        self._apply([{'table': table, 'part': '', 'key': key,
                      'value': base64.b64encode(text.encode()).decode()}], [])

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                first, fields = head_fields(head)
                body = await reader.readexactly(
                    int(fields.get('content-length', '0')))
                method, target, _ = first.split(' ')
                status, document = await self._answer(method, target, body)
                document['nowMs'] = int((time.monotonic() - self.start) * 1000)
                text = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(text)}\r\n\r\n'
                    .encode() + text)
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path = urlsplit(target).path
        query = dict(parse_qsl(urlsplit(target).query))
        await asyncio.sleep(0.004)
        if path == '/rows-get':
            return 200, self._read(query)
        if path == '/rows-feed':
            return await self._feed(query)
        if path == '/rows-tx' and method == 'POST':
            return self._transact(json.loads(body))
        return 404, {}

    def _read(self, query):
        found = [
            row for name, row in sorted(self.rows.items())
            if name[:2] == (query['table'], query.get('part', ''))
            and name[2] >= query.get('from', '')
            and ('target' not in query or name[2] < query['target'])
        ]
        limit = min(int(query.get('limit', 500)), 500)
        return {'rows': found[:limit], 'hasMore': len(found) > limit,
                'ver': self.version}

    async def _feed(self, query):
        after = int(query['after'])
        end = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            rows = [row for row in self.history if row['ver'] > after
                    and row['table'] == query['table']]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows, 'ver': self.version}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, document):
        expected = document['precondition']
        if any(entry['table'] in ('op', 'servers')
               for entry in document['writes'] + document['deletes']):
            return 403, {}
        rows = [self.rows.get(self._name(entry)) for entry in expected]
        if any((row['ver'] if row else 0) != entry['ver']
               for row, entry in zip(rows, expected, strict=True)):
            return 412, {'rows': [row for row in rows if row],
                         'ver': self.version}
        self._apply(document['writes'], document['deletes'])
        self.record.write(f'store wrote {json.dumps(document)[:300]}')
        return 200, {'ver': self.version}

    def _apply(self, writes, deletes):
        self.version += 1
        for entry in writes:
            row = {name: entry[name]
                   for name in ('table', 'part', 'key', 'value')}
            row['ver'] = self.version
            self.rows[self._name(entry)] = row
            self.history.append(row)
        for entry in deletes:
            self.rows.pop(self._name(entry), None)
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _name(entry):
        return entry['table'], entry['part'], entry['key']


class Worker:
    """One incarnation of a worker after the other, at one address."""

    def __init__(self, *, stage, record, machine, service, slots=109,
                 work_s=0.1, answer_bytes=400):
        self.stage = stage
        self.record = record
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        # Seconds by which pings to the node are late.
        self.late_s = 0.0
        self.read_piece, self.read_pause_s = 65536, 0.0
        self.server = None
        self.connections = set()
        self.runs = []
        self.instance = ''
        self.alive = False

    async def start(self, instance=''):
        """Start an incarnation, with a new id if none is given."""
        self.instance = instance or f'i-{random.randrange(16**8):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.pinging = True
        self.alive = True
        self.running = 0
        self.silent = asyncio.Event()
        self.never = asyncio.Event()
        self.listener = socket.create_server(
            (self.machine.host, self.machine.app_port), backlog=512)
        self.server = await asyncio.start_server(
            self._serve, sock=self.listener, backlog=512)
        self.record.write(
            f'worker {self.instance} of {self.service} born {self.born}')
        self.stage.keep(self._ping_always(self.born))

    async def crash(self):
        """End at once, as by SIGKILL."""
        self.alive = False
        self.pinging = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(0)
        self.record.write(f'worker {self.instance} ended')

    async def fall_silent(self):
        """Accept, answer and send nothing from now on; reset nothing.

        Opening packets are dropped, as by a machine that has gone dark: the
        queue of new connections is full.
        """
        self.silent.set()
        self.pinging = False
        dark = self.listener.dup()
        self.server.close()
        dark.listen(0)
        self.kept = [dark]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.machine.host, self.machine.app_port))
            self.kept.append(filler)
        await asyncio.sleep(0)
        self.record.write(f'worker {self.instance} falls silent')

    async def vanish(self):
        """Give the address free after ``fall_silent``."""
        await self.crash()
        for each in self.kept:
            each.close()

    def ping_body(self):
        self.sequence += 1
        return json.dumps({
            'service': self.service, 'address': self.machine.app_address,
            'zone': self.machine.zone, 'version': 'v1',
            'capacity': self.slots, 'state': self.state, 'warmupLeftMs': 0,
            'sequence': self.sequence, 'born': self.born,
        }).encode()

    async def ping(self):
        """Send one ping; return the status, 0 without an acknowledgement."""
        path = f'/Instances.Heartbeat/{self.instance}'
        body = self.ping_body()
        name = f'ping {self.instance} #{self.sequence} {self.state}'
        sent = time.monotonic()
        if self.late_s:
            self.record.write(f'{name} sent, {self.late_s} s on its way')
            await asyncio.sleep(self.late_s)
        answer = await request(self.machine.admin, 'POST', path,
                               body=body, limit_s=1.0)
        late = time.monotonic() - sent > 1
        self.record.write(f'{name} arrived: {answer.status}')
        return 0 if late else answer.status

    async def deregister(self):
        body = json.dumps({'born': self.born}).encode()
        answer = await request(
            self.machine.admin, 'POST', f'/Instances.Deregister/{self.instance}',
            body=body, limit_s=1.0)
        self.record.write(
            f'deregistration of {self.instance} answered {answer.status}')
        return answer.status

    async def _ping_always(self, born):
        while self.born == born and self.pinging:
            self.stage.keep(self.ping())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, fields = head_fields(await reader.readuntil(b'\r\n\r\n'))
        length = await read_body(
            reader, fields, self.read_piece, self.read_pause_s)
        if self.silent.is_set():
            await self.never.wait()
        if not self.alive:
            return False
        number = fields.get('request-id', '')
        if fields.get('expected-instance', self.instance) != self.instance:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                + f'Instance-Id: {self.instance}\r\nNot-Executed: 1\r\n'
                  f'Request-Id: {number}\r\nContent-Length: 0\r\n\r\n'.encode())
            return True
        instance, born = self.instance, self.born
        self.runs.append((time.monotonic(), instance, born, number))
        self.record.write(
            f'run {number} {first.split(" ")[1]} {length} bytes at {instance}'
            f' born {born} caller {fields.get("caller-service")}')
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.silent.is_set():
            await self.never.wait()
        body = (number.encode() + b'.') * (
            self.answer_bytes // (len(number) + 1) + 1)
        body = body[:self.answer_bytes]
        writer.write((
            f'HTTP/1.1 200 OK\r\nRequest-Id: {number}\r\n'
            f'Response-Signature: s.{number}.{len(body)}\r\n'
            f'Server-Load: {self.running},0,{self.slots},100\r\n'
            f'Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode() + body)
        await writer.drain()
        return True


class Answer:
    """What a client got: status 0 means a connection that ended."""

    def __init__(self, status=0, fields=None, length=0, whole=False, error=''):
        self.status = status
        self.fields = fields or {}
        self.length = length
        self.whole = whole
        self.error = error


async def request(address, method, path, *, headers=(), body=b'',
                  limit_s=5.0, piece=0, pause_s=0.0, on_sent=None):
    """Send one request on a new connection and return its Answer."""
    host, _, port = address.rpartition(':')
    writer = None
    answer = Answer()
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=65536)
            await exchange(reader, writer, method, path, headers=headers,
                           body=body, piece=piece, pause_s=pause_s,
                           answer=answer, on_sent=on_sent)
    except TimeoutError:
        answer.error = 'time limit'
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.error = f'connection ended: {type(exc).__name__}'
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def exchange(reader, writer, method, path, *, headers=(), body=b'',
                   piece=0, pause_s=0.0, answer=None, on_sent=None):
    """Send a request on a connection; read the answer into ``answer``."""
    answer = answer or Answer()
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode('latin-1'))
    if piece and body:
        for start in range(0, len(body), piece):
            writer.write(body[start:start + piece])
            await writer.drain()
            await asyncio.sleep(pause_s)
    else:
        writer.write(body)
        await writer.drain()
    if on_sent is not None:
        on_sent()
    first, fields = head_fields(await reader.readuntil(b'\r\n\r\n'))
    answer.status = int(first.split(' ')[1])
    answer.fields = fields
    left = int(fields.get('content-length', '0'))
    while left:
        got = await reader.read(min(left, piece or 65536))
        if not got:
            raise asyncio.IncompleteReadError(b'', left)
        left -= len(got)
        answer.length += len(got)
        if piece and left:
            await asyncio.sleep(pause_s)
    answer.whole = True
    return answer


class Machine:
    """A machine: the settings of its node, and the node's process."""

    def __init__(self, *, stage, number, service, zone, region):
        self.stage = stage
        self.number = number
        self.service = service
        self.zone, self.region = zone, region
        self.host = stage.host(number)
        self.peer_port, self.app_port, self.caller_port, *ports = stage.ports
        self.app_address = f'{self.host}:{self.app_port}'
        self.outbound = f'{self.host}:{self.caller_port}'
        self.ready_address = f'{self.host}:{ports[0]}'
        self.admin = f'{self.host}:{ports[1]}'
        self.inbound = f'{self.host}:{ports[2]}'
        self.started = 0.0
        self.name = f'node-{number}'
        self.process = None
        self.own_ends = 0

    def write_settings(self):
        settings = self.stage.directory / f'{self.name}.toml'
        settings.write_text(self._settings())
        return settings

    def start(self):
        settings = self.write_settings()
        dependencies = ROOT / 'target' / 'deps'
        with (self.stage.directory / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                self.stage.command, cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={'PATH': os.environ.get('PATH', ''),
                     'HOME': os.environ.get('HOME', ''), 'LANG': 'C.UTF-8',
                     'PYTHONPATH': str(dependencies),
                     'SAVORYSTAND_NODE_FILE': str(settings)})
        self.started = time.monotonic()
        self.stage.record.write(f'{self.name} started')

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.stage.record.write(f'{self.name} gets {number.name}')

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def in_touch(self):
        """Return True if the node was not started within contactMs."""
        return time.monotonic() - self.started > CONTACT_S

    def memory_mb(self):
        """Return the resident memory of the node's process."""
        try:
            text = Path('/proc', str(self.process.pid), 'statm').read_text()
        except OSError:
            return 0.0
        pages = text.split()[1:2]
        return int(pages[0]) * os.sysconf('SC_PAGE_SIZE') / 2**20 if pages else 0.0

    async def is_ready(self):
        answer = await request(self.ready_address, 'GET', '/readyz',
                               limit_s=1.0)
        return answer.status == 200

    def _settings(self):
        zones = '\n'.join(f'{zone} = "{region}"'
                          for zone, region in self.stage.zones.items())
        return f'''
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{self.host}"
zone = "{self.zone}"
region = "{self.region}"
portRange = [{self.peer_port},{self.peer_port}]
seeds = []
bootstrap = true
inFailureBudget = false
discovery = "static"
entry = "static"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
bounds = {json.dumps(BOUNDS)}
appAddr = "{self.app_address}"
service = "{self.service}"
[zones]
{zones}
[listenAddrs]
inbound = "{self.inbound}"
outbound = "{self.outbound}"
ready = "{self.ready_address}"
admin = "{self.admin}"
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
address = "{self.stage.store_address}"
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


class Stage:
    """A small deployment on loopback addresses."""

    def __init__(self, *, record, machines):
        """``machines`` lists the service of each machine."""
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        (role,) = deploy['roles'].values()
        self.command = role['run'].split(' ')
        self.command[0] = shutil.which(self.command[0]) or sys.executable
        self._net, self.ports = self._free_addresses(len(machines))
        self.zones = {'suva': 'viti-levu'}
        self.store = Store(record)
        self.store_address = f'{self.host(0)}:{self.ports[-1]}'
        self.machines = [
            Machine(stage=self, number=number, service=service,
                    zone='suva', region='viti-levu')
            for number, service in enumerate(machines, 1)
        ]
        self.workers = []
        self._servers = []
        self.tasks = set()
        self.errors = []

    def host(self, number):
        return f'127.{self._net[0]}.{self._net[1]}.{number + 10}'

    def worker(self, machine, **options):
        worker = Worker(stage=self, record=self.record, machine=machine,
                        service=machine.service, **options)
        self.workers.append(worker)
        return worker

    def configure(self, version, routes, services):
        """Write a configuration as the operator; ``routes`` are its paths."""
        document = {
            'version': f'{version:08x}',
            'services': [
                {'name': name, 'healthPath': '/healthz', 'maxConnections': 754,
                 'protocol': 'h1', 'tls': False} for name in services],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
            'virtualHosts': [{'host': HOST_NAME, 'paths': routes}],
        }
        self.store.put('op', 'config', json.dumps(document))

    async def open(self):
        host, _, port = self.store_address.rpartition(':')
        self._servers.append(
            await asyncio.start_server(self.store.serve, host, int(port)))
        for machine in self.machines:
            machine.start()

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f'{machine.name} does not get ready')
                await asyncio.sleep(0.1)

    def keep(self, coroutine):
        """Run a task until the end; an error in it ends the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    async def end_tasks(self):
        """Cancel what still runs, and close the listeners."""
        for server in self._servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        for worker in self.workers:
            if worker.alive:
                await worker.crash()
        await asyncio.sleep(0.2)
        for machine in self.machines:
            machine.end()
        await asyncio.sleep(0.2)
        if self.errors:
            raise CannotRun(f'error in the case: {self.errors[0]!r}')

    def close(self):
        for machine in self.machines:
            machine.end()
        for machine in self.machines:
            log = self.directory / f'{machine.name}.log'
            if os.environ.get('KEEP_LOGS') and log.exists():
                shutil.copy(log, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.directory, ignore_errors=True)

    @staticmethod
    def _free_addresses(machines):
        """Return a loopback net and ports that are free on all its hosts."""
        for _ in range(50):
            net = random.randrange(16, 250), random.randrange(256)
            ports = random.sample(range(10000, 30000), 7)
            try:
                for number in range(machines + 1):
                    host = f'127.{net[0]}.{net[1]}.{number + 10}'
                    for port in ports:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(type=kind) as probe:
                                probe.bind((host, port))
                return net, ports
            except OSError:
                continue
        raise CannotRun('no free loopback addresses')


def route(name, prefix, service, kind, *, timeout_ms, target_ms=1500,
          priority=2, attempts=2):
    return {'name': name, 'prefix': prefix, 'routeKind': kind,
            'timeoutMs': timeout_ms, 'targetLatencyMs': target_ms,
            'priority': priority, 'service': service, 'maxAttempts': attempts}


def new_id():
    return f'{random.randrange(16**16):016x}'


def main(run, folder, machines):
    """Run a case; exit with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble: {trouble}')
    stage = None

    async def play():
        nonlocal stage
        stage = Stage(record=record, machines=machines)
        try:
            return await run(stage, record, trouble)
        finally:
            await stage.end_tasks()

    # The nodes end with the script, also if it is told to stop.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))
    # Streams that are still open at the end would each write a traceback.
    sys.unraisablehook = lambda unraisable: None
    code = 2
    try:
        if not (ROOT / 'target' / 'deps' / 'savorystand').is_dir():
            raise CannotRun('target/deps is missing: run deploy/build.sh')
        code = 1 if asyncio.run(play()) else 0
    except Exception as exc:
        record.write(f'could not run: {exc!r}')
        import traceback
        traceback.print_exc()
    finally:
        if stage is not None:
            stage.close()
    verdict = ('held', 'broken', 'could not run')[code]
    record.write(f'result: {verdict}')
    print(f'result: {verdict}')
    sys.exit(code)
