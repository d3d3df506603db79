"""A real node with simulated network, membership, store and target."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

import anyio

from savorystand.admission.queue import AdmissionQueue
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.runner import KeyedRunner
from savorystand.deduplication.table_claims import TableClaims
from savorystand.dispatch.attempts import AttemptRunner
from savorystand.gateway.application import CallerSource
from savorystand.gateway.application import HttpApplication
from savorystand.gateway.application import TargetSource
from savorystand.lab.fuzz.directory import FuzzDirectory
from savorystand.lab.fuzz.http import Exchange
from savorystand.lab.fuzz.network import MemoryNetwork
from savorystand.lab.fuzz.store import StoreClient
from savorystand.lab.fuzz.target import MemoryTargetClient
from savorystand.lab.fuzz.virtual_time import LoopClock
from savorystand.membership.directory import FailureObserver
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.node.builder import build_node
from savorystand.retry.executions import ExecutionRegistry
from savorystand.routing.router import Router
from savorystand.settings.node import Address
from savorystand.settings.node import NodeSettings
from savorystand.tables.follower import TablesFollower
from savorystand.tables.holder import TablesHolder
from savorystand.tables.parser import parse_tables
from savorystand.tables.repository import TablesRepository
from savorystand.transport.address import PeerAddress
from savorystand.transport.peers import PeerTransport

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from savorystand.kernel.kernel import Factory
    from savorystand.kernel.kernel import Kernel
    from savorystand.lab.fuzz.network import Fabric
    from savorystand.lab.fuzz.oracle import Oracle
    from savorystand.lab.fuzz.store import MemoryStore
    from savorystand.lab.fuzz.target import FuzzTarget
    from savorystand.tables.tables import Tables

# Few enough that nodes evict keys within a run.
_MAX_RECORDS = 6
_MAX_CLOCK_OFFSET_MS = 100000
_UNUSED_ADDRESS = Address(host='127.0.0.1', port=1)
STORE_HOST = 'store'


class CountingTransport(PeerTransport):
    """Counts the calls in progress, to detect leaks."""

    __slots__ = ()

    def pending(self) -> int:
        """Return the number of calls in progress to and from peers."""
        calls = sum(conn.in_flight for conn in self._connections.values())
        return calls + sum(conn.busy() for conn in self._inbound_connections)


class CountingClaims(TableClaims):
    """Counts the claims in progress, to detect leaks."""

    __slots__ = ()

    def pending(self) -> int:
        """Return the number of claims and batches without a result."""
        return (
            len(self._pending_claims)
            + len(self._unsent_claims)
            + self._running_batches
        )


@final
@dataclass(slots=True, kw_only=True)
class Environment:
    """The simulated services that all nodes of a run share."""

    fabric: Fabric
    store: MemoryStore
    oracle: Oracle
    directories: dict[str, FuzzDirectory]
    tasks: TaskGroup


class FuzzNode:
    """One node process, with a kernel built as in a deployed one."""

    def __init__(
        self,
        *,
        node_id: str,
        slot: int,
        env: Environment,
        target: FuzzTarget,
        rng: random.Random,
    ) -> None:
        """Build the node of ``target``; ``slot`` determines its address."""
        self.node_id = node_id
        self.host = host_of_slot(slot)
        self.target = target
        self._env = env
        self._rng = rng
        self._tasks: TaskGroup | None = None
        self._ready = False
        self._exchanges: list[Exchange] = []
        self.clock = LoopClock(offset_ms=rng.uniform(0, _MAX_CLOCK_OFFSET_MS))
        self.directory = self._new_directory(slot)
        self.kernel = build_node(
            _settings(_failure_domain(slot)),
            node_id=node_id,
            replace=self._factories(),
        )
        self.tables = self.kernel.find('tables', TablesHolder)
        self.tables.add_observer(self._check_tables)

    async def run(self) -> None:
        """Run until ``crash``; an exception that escapes is a violation."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self.directory.run)
                await tasks.start(_run_kernel, self.kernel)
                self._ready = True
                if self.target.is_serving():
                    self.announce()
        except Exception as exc:
            self._env.oracle.add_violation('exception', _describe(exc))

    def serve(self, exchange: Exchange, *, from_target: bool) -> None:
        """Serve a request; it is lost if the node is down or crashes."""
        if self._tasks is None or not self._ready:
            exchange.done.set()
            return
        name = 'local listener' if from_target else 'caller listener'
        app = self.kernel.find(name, HttpApplication)
        self._exchanges = [
            earlier for earlier in self._exchanges if not earlier.done.is_set()
        ]
        self._exchanges.append(exchange)
        self._tasks.start_soon(exchange.run, app)

    def issue_key(self) -> str:
        """Return a new key that this node issues."""
        return self.kernel.find('keys', KeyedRunner).issuer.issue()

    def announce(self) -> None:
        """Announce that the target serves its pool."""
        pool = self.target.pool
        self.send_announcement('announce', f'?pool={pool}')

    def send_announcement(self, name: str, query: str = '') -> None:
        """Send a request of the target to the endpoint ``name``."""
        path = f'/savorystand/{name}{query}'
        exchange = Exchange(method='POST', path=path)
        self.serve(exchange, from_target=True)

    def crash(self) -> None:
        """End the process: connections close and its memory is lost."""
        self._env.directories.pop(self.host, None)
        self._env.fabric.close_host(self.host)
        self.target.close_connections()
        for exchange in self._exchanges:
            exchange.disconnect()
        self._ready = False
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    def open_resources(self) -> dict[str, int]:
        """Return the number of open resources by kind; zero on an idle node."""
        kernel = self.kernel
        transport = kernel.find('transport', CountingTransport)
        return {
            'slots': kernel.find('admission', AdmissionQueue).in_progress(),
            'executions': len(kernel.find('executions', ExecutionRegistry)),
            'calls': transport.pending(),
            'runs': kernel.find('keys', KeyedRunner).running(),
            'claims': kernel.find('claims', CountingClaims).pending(),
        }

    def _check_tables(self, tables: Tables) -> None:
        row = f'revision#{tables.revision}'
        stored = self._env.store.stored.get(row, {})
        change_id = stored.get('change_id')
        self._env.oracle.check_revision(self.node_id, tables, change_id)

    def _new_directory(self, slot: int) -> FuzzDirectory:
        local = Member(
            peer=PeerAddress(node_id=self.node_id, host=self.host, port=1),
            started_ms=self.clock.wall_time(),
            version=1,
            state=MemberState.JOINING,
            failure_domain=_failure_domain(slot),
            region='r',
            pool='',
        )
        directory = FuzzDirectory(
            local=local,
            rng=self._child_rng(),
            directories=self._env.directories,
            is_reachable=self._env.fabric.can_reach,
            tasks=self._env.tasks,
        )
        self._env.directories[self.host] = directory
        return directory

    def _child_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    def _factories(self) -> dict[str, Factory]:
        fabric = self._env.fabric
        store = StoreClient(
            store=self._env.store,
            is_reachable=lambda: fabric.can_reach(self.host, STORE_HOST),
        )
        return {
            'clock': lambda kernel: self.clock,
            'network': lambda kernel: MemoryNetwork(
                fabric=fabric, host=self.host
            ),
            'transport': lambda kernel: CountingTransport(
                kernel=kernel, host=self.host, port=1
            ),
            'membership': lambda kernel: self.directory,
            'claims': lambda kernel: CountingClaims(
                store=store, clock=self.clock, node_id=self.node_id
            ),
            'follower': lambda kernel: TablesFollower(
                kernel=kernel,
                parse=parse_tables,
                source=TablesRepository(store=store),
                rng=self._child_rng(),
            ),
            'metrics': lambda kernel: None,
            'routing': self._router,
            'target': lambda kernel: MemoryTargetClient(
                clock=self.clock, target=self.target
            ),
            'keys': self._keys,
            'local listener': lambda kernel: HttpApplication(
                kernel=kernel, source=TargetSource()
            ),
            'caller listener': lambda kernel: HttpApplication(
                kernel=kernel, source=CallerSource()
            ),
            'shutdown': lambda kernel: None,
        }

    def _router(self, kernel: Kernel) -> Router:
        membership = kernel.find('membership', FailureObserver)
        router = Router(
            kernel=kernel,
            rng=self._child_rng(),
            on_failure=membership.observe_failure,
        )
        transport = kernel.find('transport', PeerTransport)
        transport.add_load_observer(router.observe_load)
        return router

    def _keys(self, kernel: Kernel) -> KeyedRunner:
        return KeyedRunner(
            kernel=kernel,
            node_id=self.node_id,
            run_call=kernel.find('attempts', AttemptRunner).run,
            registry=KeyRegistry(max_records=_MAX_RECORDS),
        )


def _settings(failure_domain: str) -> NodeSettings:
    return NodeSettings(
        failure_domain=failure_domain,
        region='r',
        callers=_UNUSED_ADDRESS,
        local=_UNUSED_ADDRESS,
        peers=_UNUSED_ADDRESS,
        target=_UNUSED_ADDRESS,
        seeds=(),
        table_service='http://127.0.0.1:1',
        object_store='http://127.0.0.1:1',
        platform_key='',
        admin_key='fuzz',
    )


async def _run_kernel(kernel: Kernel, *, task_status: TaskStatus[None]) -> None:
    await kernel.run(anyio.Event(), task_status=task_status)


def host_of_slot(slot: int) -> str:
    """Return the IP address that all nodes of a slot have."""
    return f'10.0.0.{slot}'


def _failure_domain(slot: int) -> str:
    return str(slot % 2)


def _describe(exc: BaseException) -> str:
    if isinstance(exc, BaseExceptionGroup):
        return '; '.join(_describe(inner) for inner in exc.exceptions)
    return repr(exc)
