"""Failures: what a peer sends ends more than its own connection."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.clock import Clock
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.samples import samples
from savorystand.transport.assembly import BodyAssembly
from savorystand.transport.connection import PeerConnection
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.server import ServerConnection
from savorystand.verdict import MayHaveRun
from savorystand.wire.codec import encode_frame
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes
from tests.streams import faulty_pair
from tests.transport.test_connection import NoControl
from tests.transport.test_connection import Recorder
from tests.transport.test_connection import _call
from tests.wire.test_codec import mutations

_GARBAGE = st.binary(min_size=1, max_size=200) | mutations(Kind.FRAMES)
_CALL, _CHUNK = samples(Kind.FRAMES)[:2]
_OPENING = ttypes.Frame(
    answer=ttypes.AnswerStart(
        stream=1,
        status=200,
        headers=[],
        body=b'x',
        last=False,
        retries_left=0,
        load=ttypes.Load(
            in_flight=0, queued=0, limit=1, admitted_rank=0, expected_ms=0
        ),
        body_size=50000,
    ),
)


async def _serve(received: list[bytes]) -> None:
    near, far = faulty_pair()
    server = ServerConnection(
        clock=Clock(),
        inbound=Recorder(refuse=frozenset()),
        control=NoControl(),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, far)
        for chunk in received:
            await near.send(chunk)
        await near.send_eof()


async def _answer(replies: list[bytes]) -> None:
    near, far = faulty_pair()
    clock = Clock()
    conn = PeerConnection(
        clock=clock,
        on_load=lambda load: None,
        on_control=lambda frame: None,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(conn.run, near)
        async with anyio.create_task_group() as calls:
            calls.start_soon(_check_verdict, conn, clock.now() + 5000)
            await far.receive()
            for reply in replies:
                await far.send(reply)
            await far.send_eof()


async def _check_verdict(conn: PeerConnection, deadline_ms: float) -> None:
    outcome = await conn.call(_call(1, 10, deadline_ms))
    if outcome.is_error() and outcome.error.detail == '':
        assert isinstance(outcome.error, MayHaveRun)


@settings(max_examples=150)
@given(
    st.sampled_from(['fresh', 'body', 'serving']),
    st.lists(_GARBAGE, min_size=1, max_size=3),
)
def test_garbage_to_the_serving_side(state: str, garbage: list[bytes]) -> None:
    """Neither before, in the middle of nor after a call does it raise."""
    opening = ttypes.Frame(call=_unfinished())
    before = {'fresh': [], 'body': [encode_frame(opening)], 'serving': [_CALL]}
    anyio.run(_serve, [*before[state], *garbage])


@settings(max_examples=150)
@given(
    st.sampled_from(['waiting', 'answer begun']),
    st.lists(_GARBAGE, min_size=1, max_size=3),
)
def test_garbage_to_the_calling_side(state: str, garbage: list[bytes]) -> None:
    """The call ends with a truthful verdict and nothing raises."""
    begun = [encode_frame(_OPENING)] if state == 'answer begun' else []
    anyio.run(_answer, [*begun, *garbage])


def test_short_chunks_are_refused() -> None:
    """A body in chunks of no bytes would take memory without end."""
    assembly = BodyAssembly(start=_OPENING.answer)
    whole = ttypes.BodyChunk(stream=1, body=b'x' * CHUNK_BYTES, last=False)
    assert not assembly.add(whole)
    with pytest.raises(FrameError):
        assembly.add(ttypes.BodyChunk(stream=1, body=b'', last=False))


def _unfinished() -> ttypes.CallStart:
    context = ttypes.CallContext(
        request_id='r',
        execution_id='',
        remaining_ms=100,
        retries_left=0,
        rank=1,
    )
    return ttypes.CallStart(
        stream=1,
        context=context,
        route='lookup',
        method='GET',
        path='/',
        headers=[],
        body=b'x',
        last=False,
        body_size=50000,
    )
