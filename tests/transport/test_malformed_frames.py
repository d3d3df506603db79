"""Tests of connections that receive malformed frames.

They guard against input from a peer that raises an error outside its own
connection, and against a wrong verdict for a call that ends this way.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.clock import Clock
from savorystand.lab.corpus.cases import Kind
from savorystand.lab.corpus.samples import samples
from savorystand.transport.assembly import BodyAssembly
from savorystand.transport.connection import PeerConnection
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import decode_refusal
from savorystand.transport.server import ServerConnection
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.codec import FrameBuffer
from savorystand.wire.codec import encode_frame
from savorystand.wire.errors import CallError
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes
from tests.streams import faulty_pair
from tests.transport.test_connection import IgnoredControl
from tests.transport.test_connection import RecordingTarget
from tests.transport.test_connection import _make_call
from tests.wire.test_codec import mutations

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.verdict import Refusal

_MALFORMED = st.binary(min_size=1, max_size=200) | mutations(Kind.FRAMES)
_CALL_FRAME, _CHUNK = samples(Kind.FRAMES)[:2]
# ``NotRun`` for stream 1.
_REFUSAL = samples(Kind.FRAMES)[3]
# A connection numbers its calls from 1.
_CALL_STREAM = 1
_RESPONSE_START = ttypes.Frame(
    answer=ttypes.AnswerStart(
        stream=_CALL_STREAM,
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

# A refusal with repeated and mistyped fields. ``may_have_run`` occurs twice,
# first true and then false; the decoder takes the last value.
_REPEATED_FIELD = (
    b'\x00\x00\x00!\x5c\x16\x02\x11\x18\noverloaded\x18\x00\x01\x00\x01\x02'
    b'\x12\x13\x00\x13\x00\x15\x00\x14\x00\x00\x00'
)


# A load push without its load.
_EMPTY_PUSH = encode_frame(ttypes.Frame(load_push=ttypes.LoadPush()))


async def _send_to_server(chunks: list[bytes]) -> None:
    client_end, server_end = faulty_pair()
    server = ServerConnection(
        clock=Clock(),
        inbound=RecordingTarget(refused_paths=frozenset()),
        control=IgnoredControl(),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, server_end)
        for chunk in chunks:
            await client_end.send(chunk)
        await client_end.send_eof()


async def _send_to_client(responses: list[bytes]) -> Outcome:
    client_end, server_end = faulty_pair()
    clock = Clock()
    conn = PeerConnection(
        clock=clock,
        on_load=lambda load: None,
        on_control=lambda frame: None,
    )
    outcomes: list[Outcome] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(conn.run, client_end)
        async with anyio.create_task_group() as calls:
            calls.start_soon(_add_outcome, outcomes, conn, clock.now() + 5000)
            await server_end.receive()
            for response in responses:
                await server_end.send(response)
            await server_end.send_eof()
    return outcomes[0]


async def _add_outcome(
    outcomes: list[Outcome], conn: PeerConnection, deadline_ms: float
) -> None:
    outcomes.append(await conn.call(_make_call(1, 10, deadline_ms)))


def _check_verdict(outcome: Outcome, responses: list[bytes]) -> None:
    if outcome.is_error() and not isinstance(outcome.error, MayHaveRun):
        assert isinstance(outcome.error, NotRun)
        assert outcome.error == _initial_refusal(responses)


def _initial_refusal(responses: list[bytes]) -> Refusal | None:
    """Return the refusal in the first frame for the call's stream.

    None if that frame carries anything else for the stream, or if a malformed
    frame comes before it.
    """
    with suppress(FrameError):
        for frame in FrameBuffer().feed(b''.join(responses)):
            # The decoder accepts a union with more than one member.
            members = (
                frame.call,
                frame.answer,
                frame.chunk,
                frame.refused,
                frame.cancel,
            )
            of_call = [
                member
                for member in members
                if member is not None and member.stream == _CALL_STREAM
            ]
            if of_call == [frame.refused]:
                return decode_refusal(frame.refused)
            if of_call:
                return None
    return None


@settings(max_examples=150)
@given(
    st.sampled_from(['fresh', 'body', 'serving']),
    st.lists(_MALFORMED, min_size=1, max_size=3),
)
def test_server_survives_malformed_input(
    state: str, malformed: list[bytes]
) -> None:
    """Malformed frames raise nothing at any stage of a call."""
    start_frame = ttypes.Frame(call=_unfinished_call())
    preceding = {
        'fresh': [],
        'body': [encode_frame(start_frame)],
        'serving': [_CALL_FRAME],
    }
    anyio.run(_send_to_server, [*preceding[state], *malformed])


@settings(max_examples=150)
@given(
    st.sampled_from(['waiting', 'answer begun']),
    st.lists(_MALFORMED, min_size=1, max_size=3),
)
@example('waiting', [_REPEATED_FIELD])
@example('waiting', [_EMPTY_PUSH])
def test_client_survives_malformed_input(
    state: str, malformed: list[bytes]
) -> None:
    """The call ends with a correct verdict, and nothing raises.

    ``NotRun`` is correct only if the peer sent exactly this refusal, as its
    first frame for the call. Once a response has begun, the target may have
    run.
    """
    preceding = (
        [encode_frame(_RESPONSE_START)] if state == 'answer begun' else []
    )
    responses = [*preceding, *malformed]
    _check_verdict(anyio.run(_send_to_client, responses), responses)


def test_refusal_after_response_start_is_not_believed() -> None:
    """A refusal after the start of a response does not yield ``NotRun``.

    The target has run once its response begins. A caller that is told
    ``NotRun`` would repeat the request, which might then run twice.
    """
    outcome = anyio.run(
        _send_to_client, [encode_frame(_RESPONSE_START), _REFUSAL]
    )
    assert outcome.is_error()
    assert isinstance(outcome.error, MayHaveRun)


@pytest.mark.parametrize('status', [-1, 0, 99, 101, 199, 600, 2000])
@pytest.mark.parametrize('body_size', [4, 50000])
def test_response_without_valid_status_is_no_answer(
    status: int, body_size: int
) -> None:
    """A node of an earlier version may pass on a status of 000 (letter 11)."""
    start = ttypes.AnswerStart(
        stream=_CALL_STREAM,
        status=status,
        headers=[],
        body=b'body',
        last=body_size == 4,
        retries_left=0,
        load=_RESPONSE_START.answer.load,
        body_size=body_size,
    )
    outcome = anyio.run(
        _send_to_client, [encode_frame(ttypes.Frame(answer=start)), _REFUSAL]
    )
    assert outcome.is_error()
    assert isinstance(outcome.error, MayHaveRun)
    assert outcome.error.reason is Reason.TARGET_FAILED


def test_short_chunks_are_refused() -> None:
    """A body of empty chunks, which could take unlimited memory, is refused."""
    assembly = BodyAssembly(start=_RESPONSE_START.answer)
    full_chunk = ttypes.BodyChunk(stream=1, body=b'x' * CHUNK_BYTES, last=False)
    assert not assembly.add(full_chunk)
    with pytest.raises(CallError):
        assembly.add(ttypes.BodyChunk(stream=1, body=b'', last=False))


def _unfinished_call() -> ttypes.CallStart:
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
