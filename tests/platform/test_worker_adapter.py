"""Tests that a worker's response is matched to its own request.

On a kept connection a late response to an earlier request, or bytes after a
complete response, may arrive where the next response is expected.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from savorystand.clock import Clock
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.target_notices import TargetNotices
from savorystand.gateway.target_client import TargetClient
from savorystand.kernel.kernel import Kernel
from savorystand.platform.worker_adapter import WorkerAdapter
from savorystand.target_notice import Incarnation
from savorystand.target_notice import RateNamed
from savorystand.target_notice import RateOmitted
from savorystand.target_notice import RateStatement
from savorystand.target_notice import RateUnreadable
from savorystand.target_notice import TargetNotice
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_binding
from tests.policy_doubles import make_call
from tests.servers import stream_server

if TYPE_CHECKING:
    from savorystand.call import Outcome

pytestmark = pytest.mark.anyio
# SO_LINGER with timeout 0: closing discards unsent data and sends a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_END_OF_HEAD = b'\r\n\r\n'
_INSTANCE = 'i-7'
_LONG_NUMBER = '9' * 400


def _response(request_id: str, body: str, *extra_headers: str) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request_id}',
        f'Content-Length: {len(body)}',
        *extra_headers,
    )
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n{body}'.encode()


class _LocalPool(LocalPool):
    def __init__(self, instance: str) -> None:
        self.incarnation = Incarnation(instance=instance, started_ms=1)


class _Notices(TargetNotices):
    def __init__(self) -> None:
        self.received: list[TargetNotice] = []

    def receive(self, notice: TargetNotice) -> None:
        self.received.append(notice)


async def _exchange(
    *chunks: bytes,
    reset: bool = False,
    count: int = 1,
    notices: _Notices | None = None,
) -> tuple[list[Outcome], list[bytes]]:
    """Return outcomes and request heads of calls to a worker.

    The worker sends ``chunks`` in reply to each request.
    """
    heads: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        heads.append(await reader.readuntil(_END_OF_HEAD))
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        if reset:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        writer.close()

    async with stream_server(serve) as port:
        client = _client(port, notices or _Notices())
        outcomes = [await _send(client) for _ in range(count)]
    return outcomes, heads


async def _exchange_on_one_connection(
    *scripts: list[bytes],
) -> tuple[list[Outcome], list[int]]:
    """Return outcomes of one call for each script, and the connections.

    The worker sends the chunks of the next script in reply to a request.
    """
    connections: list[int] = []
    remaining = iter(scripts)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(1)
        for script in remaining:
            try:
                await reader.readuntil(_END_OF_HEAD)
            except asyncio.IncompleteReadError:
                break
            writer.writelines(script)
        writer.close()

    async with stream_server(serve) as port:
        client = _client(port, _Notices())
        return [await _send(client) for _ in scripts], connections


def _client(port: int, notices: _Notices) -> TargetClient:
    kernel = Kernel()
    kernel.register('clock', Clock())
    kernel.register('local pool', _LocalPool(_INSTANCE))
    kernel.register('notices', notices)
    return TargetClient(
        clock=Clock(),
        host='127.0.0.1',
        port=port,
        adapter=WorkerAdapter(kernel=kernel),
    )


async def _send(client: TargetClient) -> Outcome:
    call = make_call(deadline_ms=Clock().now() + 5000)
    context = replace(call.context, request_id='mine')
    return await client.send(
        replace(call, context=context), '', make_binding(instance=_INSTANCE)
    )


async def test_skipped_response_does_not_count_against_size_limit() -> None:
    """The size limit applies to each body, not to the sum of both."""
    long_body = 'x' * 9437184
    outcomes, _ = await _exchange(
        _response('other', long_body), _response('mine', long_body)
    )
    assert len(outcomes[0].ok.body) == len(long_body)


async def test_response_to_another_request_is_skipped() -> None:
    """A late response with another request id is skipped."""
    unrelated = _response('other', 'stray')
    outcomes, heads = await _exchange(unrelated + _response('mine', 'whole'))
    assert outcomes[0].ok.body == b'whole'
    assert b'expected-instance: i-7' in heads[0]


async def test_bytes_after_a_response_only_close_the_connection() -> None:
    """Bytes after a complete response cost no more than the connection."""
    for extra in (_response('mine', 'again'), b'no response at all'):
        outcomes, heads = await _exchange(
            _response('mine', 'whole') + extra, count=2
        )
        assert [outcome.ok.body for outcome in outcomes] == [
            b'whole',
            b'whole',
        ]
        assert len(heads) == 2


async def test_response_without_length() -> None:
    """A response without a length ends when the connection closes.

    If the connection is reset instead, the response is truncated.
    """
    head = b'HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n'
    complete, _ = await _exchange(head, b'all of it')
    assert complete[0].ok.body == b'all of it'
    truncated, _ = await _exchange(head, b'a part', reset=True)
    assert isinstance(truncated[0].error, MayHaveRun)


@pytest.mark.parametrize(
    ('status', 'extra_headers', 'reason'),
    [
        ('503 Busy', 'Not-Executed: 1', Reason.TARGET_REFUSED),
        ('421 Other', 'Instance-Id: i-8', Reason.DRAINING),
    ],
)
async def test_refusal_of_the_worker(
    status: str, extra_headers: str, reason: Reason
) -> None:
    """The outcome is not-run only if the worker says that nothing has run."""
    refusal = _response('mine', '', extra_headers).replace(
        b'200 OK', status.encode()
    )
    outcomes, _ = await _exchange(refusal)
    assert isinstance(outcomes[0].error, NotRun)
    assert outcomes[0].error.reason is reason


async def test_failure_of_the_worker_is_its_response() -> None:
    """Without ``Not-Executed``, a status 503 may come after a run."""
    failed = _response('mine', 'failed').replace(b'200 OK', b'503 Failed')
    outcomes, _ = await _exchange(failed)
    assert outcomes[0].ok.status == 503


@pytest.mark.parametrize(
    ('lines', 'rate', 'leaving'),
    [
        ((), RateOmitted(), False),
        (('Server-Limit: 12.5',), RateNamed(per_second=12.5), False),
        (('server-limit:  0 ',), RateNamed(per_second=0), False),
        (
            ('Server-Limit: 40', 'Server-Limit: 7'),
            RateNamed(per_second=7),
            False,
        ),
        (('Server-Limit: 40, x, 9.',), RateNamed(per_second=9), False),
        ((f'Server-Limit: {_LONG_NUMBER}',), RateNamed(per_second=1e9), False),
        (('Server-Limit: -3',), RateUnreadable(), False),
        (('Server-Limit: nan',), RateUnreadable(), False),
        (('Server-Limit: 1e3',), RateUnreadable(), False),
        (('Server-Limit:',), RateUnreadable(), False),
        (('Server-Leaving: 1',), RateOmitted(), True),
        (('Server-Leaving: 0', 'Server-Leaving: 1'), RateOmitted(), True),
        (('Server-Leaving: yes',), RateOmitted(), False),
        (('Server-Leaving:',), RateOmitted(), False),
    ],
)
async def test_notices_with_any_value(
    lines: tuple[str, ...], rate: RateStatement, leaving: bool
) -> None:
    """Malformed values neither set nor end a limit, nor take a target out."""
    notices = _Notices()
    outcomes, _ = await _exchange(
        _response('mine', 'whole', *lines), notices=notices
    )
    assert outcomes[0].ok.body == b'whole'
    received = [(notice.rate, notice.leaving) for notice in notices.received]
    assert received == [(rate, leaving)]
    assert notices.received[0].incarnation.instance == 'i-7'


@pytest.mark.parametrize(
    'unrelated',
    [
        _response('other', '', 'Server-Limit: 1', 'Server-Leaving: 1'),
        _response('', '', 'Server-Limit: 1').replace(b'Request-Id: \r\n', b''),
        _response('mine', '', 'Request-Id: other', 'Server-Limit: 1'),
        b'HTTP/1.1 100 Continue\r\nServer-Limit: 1\r\n\r\n',
    ],
)
async def test_notices_of_other_responses_are_ignored(unrelated: bytes) -> None:
    """A late response may be older than what is known of the target."""
    notices = _Notices()
    await _exchange(unrelated + _response('mine', 'whole'), notices=notices)
    assert all(notice.rate == RateOmitted() for notice in notices.received)
    assert not any(notice.leaving for notice in notices.received)


async def test_notices_of_another_instance_are_ignored() -> None:
    """Status 421 comes from another worker than the one that was asked."""
    notices = _Notices()
    misdirected = _response('mine', '', 'Server-Leaving: 1').replace(
        b'200 OK', b'421 Other'
    )
    await _exchange(misdirected, notices=notices)
    assert not notices.received


async def test_notices_apply_before_the_body_is_complete() -> None:
    """A body may take seconds, in which newer responses may say otherwise."""
    notices = _Notices()
    truncated = _response('mine', 'whole', 'Server-Limit: 3')[:-1]
    outcomes, _ = await _exchange(truncated, notices=notices)
    assert outcomes[0].is_error()
    assert [notice.rate for notice in notices.received] == [
        RateNamed(per_second=3)
    ]


@pytest.mark.parametrize('request_ids', [(), ('',), ('mine', 'other')])
@pytest.mark.parametrize('status', ['503 Busy', '421 Other', '200 OK'])
async def test_repeated_response_is_not_believed_on_a_kept_connection(
    status: str, request_ids: tuple[str, ...]
) -> None:
    """A worker may write an earlier refusal or answer once more, late.

    If it were believed, a request that runs would be reported as not run, or
    get the body of another.
    """
    lines = [f'Request-Id: {one}' for one in request_ids]
    stray = '\r\n'.join(
        [f'HTTP/1.1 {status}', 'Not-Executed: 1', 'Content-Length: 5', *lines]
    )
    outcomes, heads = await _exchange_on_one_connection(
        [_response('mine', 'whole')],
        [f'{stray}\r\n\r\nstray'.encode(), _response('mine', 'again')],
    )
    assert [outcome.ok.body for outcome in outcomes] == [b'whole', b'again']
    assert len(heads) == 1


async def test_refusal_without_request_id_on_a_new_connection() -> None:
    """Nothing else can have been refused on a connection without a request."""
    refusal = _response('', '', 'Not-Executed: 1').replace(b'200 OK', b'503 X')
    outcomes, _ = await _exchange(refusal.replace(b'Request-Id: \r\n', b''))
    assert isinstance(outcomes[0].error, NotRun)
