"""Guards against work for a worker that has asked for less or said goodbye.

Each test runs a whole node beside a worker that names a rate limit or says
that it leaves in its responses, in front of the same node's callers.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from savorystand.clock import ManualClock
from savorystand.dispatch.announcement import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.dispatch.inbound import Inbound
from savorystand.node import sidecar
from savorystand.platform.settings import PlatformSettings
from savorystand.settings.addresses import Address
from savorystand.settings.node import NodeSettings
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.tables import Tables
from savorystand.target_notice import Incarnation
from savorystand.target_notice import TargetHint
from savorystand.transport.loads import decode_load_push
from savorystand.transport.peers import PeerTransport
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_call
from tests.servers import stream_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio
_DRAIN_MS = 2500
_WINDOW_MS = 4000
_STEP_MS = 50
_END_OF_HEAD = b'\r\n\r\n'
READY = Announcement(
    instance='i-1',
    started_ms=1000,
    sequence=1,
    pool='refill',
    slots=100,
    leaving=False,
)


@dataclass(kw_only=True)
class _Worker:
    """Answers each request with ``extra_headers`` and counts them."""

    extra_headers: list[str] = field(default_factory=list)
    requests: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            try:
                head = await reader.readuntil(_END_OF_HEAD)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            self.requests += 1
            lines = [
                'HTTP/1.1 200 OK',
                f'Request-Id: {_request_id(head)}',
                'Content-Length: 0',
                *self.extra_headers,
            ]
            writer.write('\r\n'.join([*lines, '', '']).encode())


@dataclass(kw_only=True)
class _Node:
    kernel: Kernel
    clock: ManualClock
    _sent: int = 0

    async def call(self, hint: TargetHint | None = None) -> Outcome:
        self._sent += 1
        call = make_call(deadline_ms=self.clock.now() + _WINDOW_MS)
        context = replace(call.context, request_id=f'r-{self._sent}')
        sent = replace(
            call,
            context=context,
            headers=(('request-id', context.request_id),),
            hint=hint,
        )
        return await self.kernel.find('inbound', Inbound).serve(sent)

    async def call_often(self, *, span_ms: int, per_step: int) -> list[Outcome]:
        """Make ``per_step`` calls at once, every 50 ms of the clock."""
        outcomes: list[Outcome] = []
        for _ in range(span_ms // _STEP_MS):
            self.clock.advance(_STEP_MS)
            outcomes += await asyncio.gather(
                *(self.call() for _ in range(per_step))
            )
        return outcomes


def _request_id(head: bytes) -> str:
    for line in head.decode().split('\r\n'):
        name, _, text = line.partition(': ')
        if name.lower() == 'request-id':
            return text
    return ''


def _settings(port: int) -> PlatformSettings:
    local = Address(host='127.0.0.1', port=port)
    return PlatformSettings(
        node=NodeSettings(
            failure_domain='d',
            region='r',
            callers=local,
            local=local,
            peers=local,
            target=local,
            seeds=(),
            table_service='',
            object_store='',
            platform_key='',
            admin_key='',
        ),
        readiness=local,
        announcements=local,
        store=local,
        service='refill',
        apply_ms=2500,
        drain_ms=_DRAIN_MS,
        grace_ms=6000,
        retry_fraction=0.2,
        retry_slack=48,
    )


def start_node(port: int, monkeypatch: pytest.MonkeyPatch) -> _Node:
    """Return a node whose worker at ``port`` has announced itself."""
    monkeypatch.setattr(sidecar, 'Clock', ManualClock)
    kernel = sidecar.build_sidecar(_settings(port), node_id='a' * 16)
    pool = Pool(name='refill', slots=100, connections=100)
    kernel.find('tables', TablesHolder).install(
        Tables(revision=1, change_id='', routes=(), pools=(pool,))
    )
    kernel.find('announcements', Announcements).accept(READY)
    return _Node(kernel=kernel, clock=kernel.find('clock', ManualClock))


@asynccontextmanager
async def _started(
    monkeypatch: pytest.MonkeyPatch, *extra_headers: str
) -> AsyncIterator[tuple[_Node, _Worker]]:
    worker = _Worker(extra_headers=list(extra_headers))
    async with stream_server(worker.serve) as port:
        yield start_node(port, monkeypatch), worker


@pytest.mark.parametrize('per_second', [12.5, 43])
async def test_worker_gets_no_more_than_the_rate_it_names(
    monkeypatch: pytest.MonkeyPatch, per_second: float
) -> None:
    """A worker that names a rate limit must not get more than it asks for.

    One second of calls may exceed the limit by a small burst.
    """
    header = f'Server-Limit: {per_second}'
    async with _started(monkeypatch, header) as (node, worker):
        await node.call_often(span_ms=1000, per_step=4)
        worker.requests = 0
        outcomes = await node.call_often(span_ms=_WINDOW_MS, per_step=8)
        allowed = per_second * _WINDOW_MS / 1000
        assert allowed * 0.9 <= worker.requests <= allowed + per_second / 2
        refused = [one.error for one in outcomes if one.is_error()]
        assert len(refused) == len(outcomes) - worker.requests
        assert all(isinstance(refusal, NotRun) for refusal in refused)
        assert all(refusal.retry_after_ms > 0 for refusal in refused)


async def test_leaving_worker_gets_no_work_whatever_is_announced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A worker that says in a response that it leaves gets no work later.

    Announcements that say otherwise may have been sent before the response.
    """
    async with _started(monkeypatch) as (node, worker):
        assert (await node.call()).is_ok()
        worker.extra_headers.append('Server-Leaving: 1')
        assert (await node.call()).is_ok()
        announcements = node.kernel.find('announcements', Announcements)
        announcements.accept(replace(READY, sequence=2))
        node.clock.advance(_DRAIN_MS)
        announcements.accept(replace(READY, sequence=3))
        worker.requests = 0
        outcomes = await node.call_often(span_ms=200, per_step=2)
        assert worker.requests == 0
        assert all(isinstance(one.error, NotRun) for one in outcomes)
        # Later than the response also if the clock was set back meanwhile.
        started_ms = node.clock.wall_time() + 5000
        restarted = replace(READY, started_ms=started_ms, sequence=1)
        announcements.accept(restarted)
        worker.extra_headers.clear()
        assert (await node.call()).is_ok()


async def test_restarted_node_keeps_the_limit_that_callers_remember(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A restart of the node must not open its worker to a flood.

    The worker says nothing before its first response, for which it may take
    long.
    """
    hint = TargetHint(rate_limit=10)
    async with _started(monkeypatch, 'Server-Limit: 10') as (node, worker):
        node.clock.advance(_STEP_MS)
        outcomes = [await node.call(hint) for _ in range(20)]
        assert worker.requests <= 2
        assert outcomes[-1].error.reason is Reason.RATE_LIMITED


async def test_restarted_node_believes_callers_that_its_worker_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late announcement must not return a worker that has left.

    The node that knew of its departure has restarted; its callers have not.
    """
    left = Incarnation(instance=READY.instance, started_ms=READY.started_ms)
    async with _started(monkeypatch) as (node, worker):
        refused = await node.call(TargetHint(left=left))
        assert refused.error.reason is Reason.DRAINING
        announcements = node.kernel.find('announcements', Announcements)
        announcements.accept(replace(READY, sequence=2))
        assert (await node.call()).error.reason is Reason.DRAINING
        assert worker.requests == 0
        announcements.accept(replace(READY, started_ms=2000, sequence=1))
        assert (await node.call(TargetHint(left=left))).is_ok()


async def test_restarted_worker_keeps_its_limit_until_it_responds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A worker that restarts under its id must not get a flood at once.

    It may still be in need, and says nothing before its first response.
    """
    restarted = replace(READY, started_ms=2000, sequence=1)
    async with _started(monkeypatch, 'Server-Limit: 10') as (node, worker):
        assert (await node.call()).is_ok()
        node.kernel.find('announcements', Announcements).accept(restarted)
        node.clock.advance(1000)
        worker.requests = 0
        worker.extra_headers.clear()
        await asyncio.gather(*(node.call() for _ in range(20)))
        assert worker.requests <= 2
        assert (await node.call()).is_ok()
        assert (await node.call()).is_ok()


async def test_response_that_says_so_reports_the_notices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller must remember what the response that it passes on says.

    The node beside the worker may end before it can report it otherwise.
    """
    async with _started(monkeypatch) as (node, worker):
        assert (await node.call()).ok.load.leaving is None
        worker.extra_headers += ['Server-Leaving: 1', 'Server-Limit: 10']
        load = (await node.call()).ok.load
    left = Incarnation(instance=READY.instance, started_ms=READY.started_ms)
    assert (load.leaving, load.rate_limit) == (left, 10)


# Guards against a departure that nobody tells the next process of this node while
# the store is away, as this one ended before its next load report.
async def test_departure_is_pushed_to_callers_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They remember it, and tell a node that has restarted with their calls."""
    pushed: list[Message] = []
    monkeypatch.setattr(
        PeerTransport,
        'broadcast_inbound',
        lambda _, frame: pushed.append(frame),
    )
    async with _started(monkeypatch) as (node, _):
        node.kernel.find('announcements', Announcements).deregister('i-1')
    left = Incarnation(instance=READY.instance, started_ms=READY.started_ms)
    loads = [frame.load_push for frame in pushed if frame.load_push]
    assert [decode_load_push(push).leaving for push in loads] == [left]
