"""Guards against a response without a valid status that callers get.

A worker in trouble sent an answer whose status was 000. The client got it as an
answer (letter 11).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.gateway.target_client import TargetClient
from savorystand.verdict import MayHaveRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_binding
from tests.policy_doubles import make_call
from tests.servers import stream_server

if TYPE_CHECKING:
    import asyncio

    from savorystand.call import Outcome

pytestmark = pytest.mark.anyio
_OK = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
_ENDINGS = (
    b'content-length: 4\r\n\r\nbody',
    b'content-length: 0\r\n\r\n',
    b'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
    b'\r\nbody',
)


async def _outcome(response: bytes, *, closes: bool) -> Outcome:
    """Return the outcome of a call; the target keeps the connection or not."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response)
        if not closes:
            await reader.read()
        writer.close()

    clock = Clock()
    async with stream_server(serve) as port:
        client = TargetClient(clock=clock, host='127.0.0.1', port=port)
        call = make_call(deadline_ms=clock.now() + 60000)
        with anyio.fail_after(20):
            return await client.send(call, 'execution', make_binding())


@pytest.mark.parametrize('closes', [True, False])
@pytest.mark.parametrize('ending', _ENDINGS)
@pytest.mark.parametrize(
    'status', ['000', '001', '099', '101', '600', '999', '0', '20', '2000']
)
async def test_response_without_valid_status_is_no_answer(
    status: str, ending: bytes, closes: bool
) -> None:
    """The call fails at once, and the target may have run it."""
    response = b'HTTP/1.1 %b X\r\n%b' % (status.encode(), ending)
    outcome = await _outcome(response, closes=closes)
    assert outcome.is_error()
    assert isinstance(outcome.error, MayHaveRun)
    assert outcome.error.reason is Reason.TARGET_FAILED


@pytest.mark.parametrize('status', [100, 102, 103])
async def test_interim_response_is_followed_by_the_answer(status: int) -> None:
    """An interim response is valid, and does not end the call."""
    interim = b'HTTP/1.1 %d X\r\n\r\n' % status
    outcome = await _outcome(interim + _OK, closes=False)
    assert outcome.is_ok()
    assert (outcome.ok.status, outcome.ok.body) == (200, b'whole')


@pytest.mark.parametrize('status', [200, 299, 404, 599])
async def test_valid_status_is_handed_on(status: int) -> None:
    """Statuses that no document defines are valid from 200 to 599."""
    response = b'HTTP/1.1 %d X\r\n%b' % (status, _ENDINGS[0])
    outcome = await _outcome(response, closes=False)
    assert outcome.is_ok()
    assert (outcome.ok.status, outcome.ok.body) == (status, b'body')
