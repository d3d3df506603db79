"""Failures: a response promises what does not hold, or headers leak."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from expression import Error
from expression import Ok

from savorystand.call import Importance
from savorystand.call import Response
from savorystand.clock import ManualClock
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.parents import ParentInference
from savorystand.gateway.contexts import Request
from savorystand.kernel.kernel import Kernel
from savorystand.platform.ingress import Ingress
from savorystand.retry.executions import ExecutionRegistry
from savorystand.tables.holder import TablesHolder
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

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
        kernel.register('clock', ManualClock(now=1000))
        kernel.register('tables', self.tables)
        kernel.register('executions', ExecutionRegistry())
        kernel.register('parents', ParentInference(kernel=kernel))
        kernel.register('dispatcher', self.dispatcher)
        self.ingress = Ingress(kernel=kernel, service='billing')

    async def ask(self, path: str = '/a/b') -> tuple[int, dict[str, str]]:
        request = Request(
            method='POST',
            path=f'{path}?q=1',
            headers=tuple((name.lower(), text) for name, text in _HEADERS),
            body=b'body',
            received_ms=1000,
        )
        response = await self.ingress.serve(request)
        return response.status, dict(response.headers)


async def test_request_is_passed_on_unchanged() -> None:
    """Only what the system sets itself and the connection's own differ."""
    node = _Node()
    node.tables.install(_TABLES)
    await node.ask()
    call = node.dispatcher.calls[0]
    assert (call.method, call.path, call.body) == ('POST', '/a/b?q=1', b'body')
    assert call.headers == (
        ('host', 'A.example:80'),
        ('request-id', 'r1'),
        ('x-other', 'kept'),
        ('caller-service', 'billing'),
    )
    # The route's limit is shorter than what the client would wait.
    assert call.context.deadline_ms == 1800


async def test_unknown_route_and_unknown_configuration() -> None:
    """Without a configuration nothing can be said of a route."""
    node = _Node()
    assert (await node.ask())[0] == 503
    node.tables.install(_TABLES)
    assert (await node.ask('/b/'))[0] == 404
    assert not node.dispatcher.calls


@pytest.mark.parametrize('reason', list(Reason))
async def test_promise_of_not_run_only_where_it_holds(reason: Reason) -> None:
    """Statuses 408, 421, 429 and 503 promise that nothing has run."""
    node = _Node()
    node.tables.install(_TABLES)
    node.dispatcher.outcome = Error(MayHaveRun(reason=reason))
    assert (await node.ask())[0] in {502, 504}
    refusal = NotRun(reason=reason, retry_after_ms=250)
    node.dispatcher.outcome = Error(refusal)
    status, headers = await node.ask()
    if status == 503:
        assert headers['retry-after'] == '0.250'
    else:
        assert reason in {Reason.NO_ROUTE, Reason.TOO_LARGE}
