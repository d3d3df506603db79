"""Guards against traffic that cannot be attributed to its cause.

Bytes between regions and calls of the store are limited and paid for. Without
counters by kind, what grows with the number of nodes is found only by trial.
"""

from __future__ import annotations

import io
from dataclasses import replace

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.clock import ManualClock
from savorystand.kernel.kernel import Kernel
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.membership.distance import Distance
from savorystand.membership.distance import distance_between
from savorystand.membership.membership import Membership
from savorystand.platform.row_client import RowClient
from savorystand.reporting.counters import Counters
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import log_handler
from savorystand.reporting.statsd import StatsdSender
from savorystand.reporting.traffic import Traffic
from savorystand.reporting.traffic import TrafficKind
from savorystand.reporting.traffic import TrafficLog
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.transport.connection import PeerConnection
from savorystand.transport.frame_meter import FrameMeter
from savorystand.transport.server import ServerConnection
from savorystand.wire.codec import encode_frame
from savorystand.wire.gen.wire import ttypes
from tests.platform.test_worker_notices import start_node
from tests.policy_doubles import FakeDirectory
from tests.policy_doubles import let_tasks_run
from tests.policy_doubles import make_call
from tests.policy_doubles import make_member
from tests.streams import faulty_pair
from tests.transport.test_connection import IgnoredControl
from tests.transport.test_connection import RecordingTarget

pytestmark = pytest.mark.anyio


# Guards against calls, load reports and pings that are counted together.
async def test_frames_in_both_directions_are_counted_by_kind() -> None:
    """The node that has opened a connection counts all of it."""
    kernel, traffic = Kernel(), Traffic()
    far = make_member('far', domain='x', region='other')
    kernel.register('membership', FakeDirectory([far]))
    kernel.register('traffic', traffic)
    client_end, server_end = faulty_pair()
    clock = Clock()
    conn = PeerConnection(
        clock=clock,
        on_load=lambda load: None,
        on_control=lambda frame: None,
        on_frame=FrameMeter(kernel=kernel).observer(far.peer),
    )
    server = ServerConnection(
        clock=clock,
        inbound=RecordingTarget(frozenset()),
        control=IgnoredControl(),
    )
    ping = ttypes.Frame(ping=ttypes.Ping(sequence=0))
    load = ttypes.Load(
        in_flight=0, queued=0, limit=1, admitted_rank=0, expected_ms=0
    )
    push = ttypes.Frame(load_push=ttypes.LoadPush(load=load))
    body = bytes(40000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(conn.run, client_end)
        tasks.start_soon(server.run, server_end)
        call = make_call(deadline_ms=clock.now() + 5000, body=body)
        outcome = await conn.call(call)
        assert outcome.ok.body == body * 2
        conn.send(ping)
        server.send(encode_frame(push))
        await let_tasks_run()
        tasks.cancel_scope.cancel()
    other = Distance.OTHER_REGION
    calls = traffic.bytes_sent(TrafficKind.CALLS, other)
    # The request, the response of twice its size, and their headers.
    assert 120000 < calls < 121000
    # A pong has the length of a ping.
    pings = traffic.bytes_sent(TrafficKind.PINGS, other)
    assert pings == 2 * len(encode_frame(ping))
    loads = traffic.bytes_sent(TrafficKind.LOADS, other)
    assert loads == len(encode_frame(push))


def test_distance_is_that_of_the_member_records() -> None:
    """A member that was removed meanwhile is at no known distance."""
    local = make_member('a', domain='d1', region='r1')
    assert distance_between(None, local) is Distance.UNKNOWN
    for domain, region, expected in (
        ('d1', 'r1', Distance.OWN_DOMAIN),
        ('d2', 'r1', Distance.OWN_REGION),
        ('d1', 'r2', Distance.OTHER_REGION),
    ):
        other = replace(local, failure_domain=domain, region=region)
        assert distance_between(other, local) is expected


# Guards against calls of the store that are paid for and not counted.
async def test_store_calls_are_counted_by_kind() -> None:
    """Failed ones are counted as well."""
    traffic = Traffic()
    listener = PlatformListener(app=platform_app(key=''))
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        address = Address(host='127.0.0.1', port=listener.port)
        connections = ServiceConnections(
            address=address, key='', traffic=traffic
        )
        rows = RowClient(connections=connections)
        await rows.read('nodes')
        await rows.changes('op', after=0, wait_ms=0)
        await rows.changes('op', after=0, wait_ms=0)
        tasks.cancel_scope.cancel()
    assert sorted(traffic.store_calls().values()) == [1, 2]
    assert traffic.totals()['store.calls.GET /rows-feed?table=op'] == 2


def test_kinds_of_store_calls_are_bounded() -> None:
    """Paths of objects hold names, of which there may be any number."""
    traffic = Traffic()
    for number in range(100):
        traffic.count_store_call('GET', f'/bucket/{number}')
    calls = traffic.store_calls()
    assert len(calls) == 33
    assert sum(calls.values()) == 100


# Guards against counters that no operator can read.
async def test_totals_are_logged_and_sent_as_metrics() -> None:
    """Log lines hold totals, metrics their increase."""
    clock, kernel, traffic = ManualClock(), Kernel(), Traffic()
    kernel.register('clock', clock)
    kernel.register('log', EventLog(clock=clock, node_id='ab'))
    kernel.register('traffic', traffic)
    traffic.count(TrafficKind.GOSSIP, Distance.OWN_REGION, 70)
    traffic.count_store_call('GET', '/rows-get?table=op&from=a')
    stream = io.StringIO()
    with log_handler(stream=stream).applicationbound():
        await TrafficLog(kernel=kernel).drain()
    lines = stream.getvalue().splitlines()
    assert lines[0].endswith(
        'event=traffic-counted node=ab total="gossip.own-region=70"'
    )
    assert 'calls.GET /rows-get?table=op=1' in lines[1]
    metrics = StatsdSender(
        clock=clock,
        counters=Counters(clock=clock),
        traffic=traffic,
        address=None,
    )
    assert metrics.deltas()['traffic.gossip.own-region'] == 70
    traffic.count(TrafficKind.GOSSIP, Distance.OWN_REGION, 5)
    assert metrics.deltas() == {'traffic.gossip.own-region': 5}


# Guards against counters of a node that its services do not use.
async def test_services_of_a_node_share_the_counters(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The counters must be registered before the services that look them up."""
    node = start_node(1, monkeypatch)
    node.kernel.find('membership', Membership).contact('127.0.0.9', 9)
    traffic = node.kernel.find('traffic', Traffic)
    assert traffic.bytes_sent(TrafficKind.GOSSIP, Distance.UNKNOWN) > 0
    assert node.kernel.find('traffic log', TrafficLog)
