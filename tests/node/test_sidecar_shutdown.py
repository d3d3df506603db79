"""Tests that a stopping sidecar refuses no caller and cuts no request.

The platform needs some time to redirect callers. If the node closes its
listener before that, or exits while requests run, callers see failures.
"""

from __future__ import annotations

import anyio
import pytest

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.queue import Permit
from savorystand.admission.rate_limit import RateLimit
from savorystand.clock import ManualClock
from savorystand.gateway.server import HttpListener
from savorystand.kernel.kernel import Kernel
from savorystand.membership.directory import MemberDirectory
from savorystand.node.sidecar_shutdown import SidecarShutdown
from savorystand.reporting.logs import EventLog
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.tables import Tables
from savorystand.target_notice import Incarnation
from savorystand.verdict import NotRun
from tests.policy_doubles import FakeDirectory
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call
from tests.policy_doubles import register_local_pool

pytestmark = pytest.mark.anyio
_GRACE_MS = 6000


class _Listener(HttpListener):
    def __init__(self) -> None:
        self.accepting = True
        self.open_connections = 1

    def stop_accepting(self) -> None:
        self.accepting = False

    def connection_count(self) -> int:
        return self.open_connections


class _Directory(FakeDirectory):
    def __init__(self) -> None:
        super().__init__([])
        self.has_left = False

    def announce(self, pool: str) -> None:
        self.has_left = False

    def leave(self) -> None:
        self.has_left = True


class _Node:
    def __init__(self) -> None:
        self.kernel = Kernel()
        self.clock = ManualClock()
        self.listener = _Listener()
        self.directory = _Directory()
        self.admission = AdmissionQueue(clock=self.clock)
        self.kernel.register('clock', self.clock)
        self.kernel.register('tables', TablesHolder())
        self.kernel.register('admission', self.admission)
        self.kernel.register('membership', self.directory)
        self.kernel.register('rate limit', RateLimit(clock=self.clock))
        log = EventLog(clock=self.clock, node_id='node')
        self.kernel.register('log', log)
        self.local_pool = register_local_pool(self.kernel)
        self.kernel.register('caller listener', self.listener)
        self.shutdown = SidecarShutdown(kernel=self.kernel, grace_ms=_GRACE_MS)

    def install(self) -> None:
        pool = Pool(name='refill', slots=9, connections=9)
        tables = Tables(revision=1, change_id='', routes=(), pools=(pool,))
        self.kernel.find('tables', TablesHolder).install(tables)

    async def advance_ms(self, ms: int) -> None:
        for _ in range(ms // 50):
            self.clock.advance(50)
            await let_tasks_run()


async def test_callers_are_served_until_they_are_redirected() -> None:
    """Connections are accepted until the platform has noticed the stop."""
    node = _Node()
    assert not node.shutdown.ready()
    node.install()
    assert node.shutdown.ready()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.shutdown.drain)
        await let_tasks_run()
        assert not node.shutdown.ready()
        assert isinstance(node.directory, MemberDirectory)
        assert node.directory.has_left
        await node.advance_ms(2400)
        assert node.listener.accepting
        await node.advance_ms(200)
        assert not node.listener.accepting
        node.listener.open_connections = 0
        await node.advance_ms(100)


async def test_request_in_progress_delays_the_exit() -> None:
    """The drain waits for a running request, within the grace period."""
    node = _Node()
    node.install()
    node.local_pool.announce('refill')
    permit = await node.admission.admit(make_call())
    assert isinstance(permit, Permit)
    node.listener.open_connections = 0
    drained = anyio.Event()

    async def drain() -> None:
        await node.shutdown.drain()
        drained.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drain)
        await let_tasks_run()
        await node.advance_ms(4000)
        assert not drained.is_set()
        node.admission.release(permit, answered=True)
        await node.advance_ms(100)
        assert drained.is_set()
    assert node.clock.now() < _GRACE_MS


async def test_announcement_does_not_return_a_stopping_node() -> None:
    """A worker that restarts beside a stopping node must get no calls there.

    Peers would send calls to a process that is about to exit.
    """
    node = _Node()
    node.install()
    node.local_pool.announce('refill')
    node.listener.open_connections = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.shutdown.drain)
        await let_tasks_run()
        restarted = Incarnation(instance='i-2', started_ms=2)
        node.local_pool.announce('refill', incarnation=restarted)
        assert node.directory.has_left
        await node.advance_ms(1000)
        assert isinstance(await node.admission.admit(make_call()), NotRun)
        await node.advance_ms(5000)


async def test_stop_does_not_return_a_target_that_has_left() -> None:
    """A stopping node admits calls for a while, but to no target that left."""
    node = _Node()
    node.install()
    node.local_pool.announce('refill')
    node.listener.open_connections = 0
    node.local_pool.leave()
    await node.advance_ms(4000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.shutdown.drain)
        await let_tasks_run()
        assert isinstance(await node.admission.admit(make_call()), NotRun)
        await node.advance_ms(6000)
