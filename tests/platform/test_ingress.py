"""Tests the statuses and headers that the ingress sends.

A status that says "not run" for a request that may have run makes the client
repeat it. A header forwarded from the client could forge what the node sets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from expression import Error
from expression import Ok

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.rate_limit import RateLimit
from savorystand.call import Importance
from savorystand.call import Response
from savorystand.clock import ManualClock
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.parents import ParentInference
from savorystand.gateway.contexts import Request
from savorystand.kernel.kernel import Kernel
from savorystand.platform.ingress import Ingress
from savorystand.reporting.logs import EventLog
from savorystand.retry.executions import ExecutionRegistry
from savorystand.tables.holder import TablesHolder
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import register_local_pool

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome

pytestmark = pytest.mark.anyio
_ROUTE = Route(
    name='r-1',
    method='',
    path='/a/',
    pool='refill',
    importance=Importance.CRITICAL,
    idempotent=False,
    host='a.example',
    limit_ms=800,
    needs_key=False,
)
_TABLES = Tables(revision=1, change_id='', routes=(_ROUTE,), pools=())
_HEADERS = (
    ('Host', 'A.example:80'),
    ('Request-Id', 'r1'),
    ('Deadline-Ms', '5000'),
    ('Caller-Service', 'forged'),
    ('Expected-Instance', 'forged'),
    ('Connection', 'keep-alive'),
    ('X-Other', 'kept'),
)


class _Dispatcher(Dispatcher):
    def __init__(self) -> None:
        self.outcome: Outcome = Ok(Response(status=200, headers=(), body=b''))
        self.calls: list[Call] = []

    async def call(self, call: Call) -> Outcome:
        self.calls.append(call)
        return self.outcome


class _Node:
    def __init__(self) -> None:
        kernel = Kernel()
        self.dispatcher = _Dispatcher()
        self.tables = TablesHolder()
        self.clock = ManualClock(now=1000)
        kernel.register('clock', self.clock)
        kernel.register('tables', self.tables)
        kernel.register('log', EventLog(clock=ManualClock(), node_id='aa'))
        kernel.register('admission', AdmissionQueue(clock=self.clock))
        kernel.register('rate limit', RateLimit(clock=self.clock))
        self.local_pool = register_local_pool(kernel)
        kernel.register('executions', ExecutionRegistry())
        kernel.register('parents', ParentInference(kernel=kernel))
        kernel.register('dispatcher', self.dispatcher)
        self.ingress = Ingress(
            kernel=kernel, service='billing', max_descriptors=4096
        )

    async def send(self, path: str = '/a/b') -> tuple[int, dict[str, str]]:
        request = Request(
            method='POST',
            path=f'{path}?q=1',
            headers=tuple((name.lower(), text) for name, text in _HEADERS),
            body=b'body',
            received_ms=1000,
        )
        response = await self.ingress.serve(request)
        return response.status, dict(response.headers)


async def test_request_is_forwarded_unchanged() -> None:
    """Only hop-by-hop headers and those set by the node differ."""
    node = _Node()
    node.tables.install(_TABLES)
    await node.send()
    call = node.dispatcher.calls[0]
    assert (call.method, call.path, call.body) == ('POST', '/a/b?q=1', b'body')
    assert call.headers == (
        ('host', 'A.example:80'),
        ('request-id', 'r1'),
        ('x-other', 'kept'),
        ('caller-service', 'billing'),
    )
    # The route's time limit is shorter than the client's timeout.
    assert call.context.deadline_ms == 1800


# Guards against requests that name a service that has left this machine.
async def test_request_names_the_service_of_the_present_worker() -> None:
    """The address of the worker goes to another service."""
    node = _Node()
    node.tables.install(_TABLES)
    node.local_pool.announce('binwatch')
    await node.send()
    node.local_pool.leave()
    await node.send()
    for call in node.dispatcher.calls:
        assert call.headers[-1] == ('caller-service', 'binwatch')


async def test_unknown_route_and_missing_configuration() -> None:
    """Without a configuration the status is 503, not 404."""
    node = _Node()
    assert (await node.send())[0] == 503
    node.tables.install(_TABLES)
    assert (await node.send('/b/'))[0] == 404
    assert not node.dispatcher.calls


@pytest.mark.parametrize('reason', list(Reason))
async def test_not_run_status_only_for_requests_that_did_not_run(
    reason: Reason,
) -> None:
    """Statuses 408, 421, 429 and 503 state that the request has not run."""
    node = _Node()
    node.tables.install(_TABLES)
    node.dispatcher.outcome = Error(MayHaveRun(reason=reason))
    assert (await node.send())[0] in {502, 504}
    refusal = NotRun(reason=reason, retry_after_ms=250)
    node.dispatcher.outcome = Error(refusal)
    status, headers = await node.send()
    if status == 503:
        assert headers['retry-after'] == '0.250'
    else:
        assert reason in {Reason.NO_ROUTE, Reason.TOO_LARGE}


# Guards against requests that a stopping node passes on and cannot answer before
# its process ends.
async def test_request_late_in_a_stop_is_refused() -> None:
    """The refusal is true: the caller may send it again elsewhere."""
    node = _Node()
    node.tables.install(_TABLES)
    node.ingress.close_connections()
    node.clock.advance(400)
    assert (await node.send())[0] == 200
    node.clock.advance(200)
    status, headers = await node.send()
    assert status == 503
    assert headers['request-id'] == 'r1'
    assert float(headers['retry-after']) > 0
    assert len(node.dispatcher.calls) == 1
