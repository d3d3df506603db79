"""Guards against a fault of one call that ends the connection of all others.

One client sent an id that its entry passed on and the next node refused: the
connection between them was closed, and forty requests of other clients that
were at work ended without their responses.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import anyio
import pytest
from expression import Ok
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.call import Response
from savorystand.clock import Clock
from savorystand.transport.bounds import MAX_HEAD_BYTES
from savorystand.transport.connection import PeerConnection
from savorystand.transport.conversion import CHUNK_BYTES
from savorystand.transport.conversion import call_frame
from savorystand.transport.server import ServerConnection
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.codec import FrameBuffer
from savorystand.wire.codec import encode_frame
from savorystand.wire.gen.wire import ttypes
from tests.streams import faulty_pair
from tests.transport.test_connection import RecordingTarget
from tests.transport.test_connection import _make_call
from tests.transport.test_malformed_frames import _RESPONSE_START

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.wire.codec import Message

pytestmark = pytest.mark.anyio
_FAULTY_STREAM = 2
_LONG_PATH = '/'.ljust(MAX_HEAD_BYTES + 1, 'p')
_WAIT_SECONDS = 5
# Values of headers that the parser of requests accepts, of some lengths.
_VALUE_TEXTS = st.builds(
    lambda text, count: text * count,
    st.text(' \tA~.;,="\x80\xff', max_size=20),
    st.sampled_from((1, 10, 200)),
)


class _Target(RecordingTarget):
    """Serves slow calls once released, and others with ``headers``."""

    def __init__(self, headers: Headers = ()) -> None:
        super().__init__(refused_paths=frozenset())
        self.released = anyio.Event()
        self.calls: list[Call] = []
        self.headers = headers

    async def serve(self, call: Call) -> Outcome:
        self.calls.append(call)
        if call.path.endswith('/slow'):
            await self.released.wait()
        return Ok(Response(status=200, headers=self.headers, body=b'done'))


class _FaultyControl:
    """Fails at each control frame."""

    def answer(self, frame: Any) -> None:
        raise RuntimeError('a fault of the control service')


@dataclass(slots=True, kw_only=True)
class _Pair:
    """Both sides of a connection, with one slow call at work on it."""

    conn: PeerConnection
    target: _Target
    client_end: ByteStream
    server_end: ByteStream
    clock: Clock
    # Frames that have arrived at the client.
    received: list[Message]

    async def call(self, **fields: Any) -> Outcome:
        """Make a call with the given fields of the call or its context."""
        call = _make_call(1, 10, self.clock.now() + 5000)
        for name in ('request_id', 'execution_id'):
            if name in fields:
                text = fields.pop(name)
                call.context = replace(call.context, **{name: text})
        with anyio.fail_after(_WAIT_SECONDS):
            return await self.conn.call(replace(call, **fields))


@asynccontextmanager
async def _slow_call_at_work(target: _Target) -> AsyncIterator[_Pair]:
    """Check at the end that the slow call gets its response."""
    clock = Clock()
    client_end, server_end = faulty_pair()
    conn = PeerConnection(
        clock=clock,
        on_load=lambda load: None,
        on_control=_FaultyControl().answer,
    )
    server = ServerConnection(
        clock=clock, inbound=target, control=_FaultyControl()
    )
    outcomes: list[Outcome] = []
    pair = _Pair(
        conn=conn,
        target=target,
        client_end=client_end,
        server_end=server_end,
        clock=clock,
        received=_record_frames(client_end),
    )

    async def make_slow_call() -> None:
        outcomes.append(await pair.call(path='/slow'))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(conn.run, client_end)
        tasks.start_soon(server.run, server_end)
        async with anyio.create_task_group() as calls:
            calls.start_soon(make_slow_call)
            with anyio.fail_after(_WAIT_SECONDS):
                while not target.calls:
                    await anyio.sleep(0)
                yield pair
            assert not conn.closed
            target.released.set()
        tasks.cancel_scope.cancel()
    assert outcomes[0].is_ok(), outcomes[0]
    assert outcomes[0].ok.body == b'done'


@pytest.mark.parametrize(
    'fields',
    [
        {'request_id': 'x' * 130},
        {'request_id': 'an id with spaces'},
        {'request_id': 'x' * 16000},
        {'headers': tuple((f'x{number}', 'y') for number in range(120))},
        {'headers': (('x', 'y' * 60000),)},
        {'path': _LONG_PATH[:10000]},
        {'path': _LONG_PATH[:16000], 'headers': (('x', '\xff' * 16000),)},
    ],
    ids=[
        'long id',
        'id with spaces',
        'longest id',
        'headers',
        'long header',
        'path',
        'path and header',
    ],
)
async def test_what_an_entry_accepts_is_served(fields: dict[str, Any]) -> None:
    """An entry accepts these texts, so that the next node has to take them."""
    async with _slow_call_at_work(_Target()) as pair:
        outcome = await pair.call(body=bytes(CHUNK_BYTES), **fields)
        assert outcome.is_ok(), outcome
        served = pair.target.calls[-1]
    for name, expected in fields.items():
        owner = served.context if name == 'request_id' else served
        assert getattr(owner, name) == expected


@pytest.mark.parametrize(
    'headers',
    [
        tuple((f'x{number}', 'y') for number in range(120)),
        (('x', '\xff' * 60000),),
        tuple(('x', '') for _ in range(15000)),
    ],
    ids=['count', 'size', 'many'],
)
async def test_headers_of_a_response_are_carried(headers: Headers) -> None:
    """A target may send any head up to the bound of the response reader."""
    async with _slow_call_at_work(_Target(headers)) as pair:
        outcome = await pair.call()
        assert outcome.is_ok(), outcome
        assert outcome.ok.headers == headers


@pytest.mark.parametrize(
    'fields',
    [
        {'request_id': 'line\r\nbreak'},
        {'request_id': 'x' * (MAX_HEAD_BYTES + 1)},
        {'path': '/with space'},
        {'path': _LONG_PATH},
        {'method': 'M' * 129},
        {'execution_id': 'x' * 129},
        {'headers': (('x', 'a\nb'),)},
        {'headers': (('a name', 'b'),)},
        {'key': 'k' * 257},
    ],
    ids=[
        'line break',
        'id',
        'space in path',
        'path',
        'method',
        'execution id',
        'header value',
        'header name',
        'key',
    ],
)
async def test_invalid_call_is_refused_as_not_run(
    fields: dict[str, Any],
) -> None:
    """The target sees nothing of it, and no other node would take it."""
    async with _slow_call_at_work(_Target()) as pair:
        outcome = await pair.call(**fields)
        assert isinstance(outcome.error, NotRun), outcome
        assert outcome.error.reason is Reason.INVALID_CALL
        assert len(pair.target.calls) == 1


async def test_head_beyond_a_frame_is_refused_by_its_sender() -> None:
    """Nothing is sent of a call that does not fit into a frame."""
    async with _slow_call_at_work(_Target()) as pair:
        outcome = await pair.call(headers=(('x', 'y' * 2_000_000),))
        assert isinstance(outcome.error, NotRun), outcome
        assert outcome.error.reason is Reason.TOO_LARGE


def _start(**fields: Any) -> Message:
    call = _make_call(1, 20000, Clock().now() + 5000)
    frame = call_frame(call, _FAULTY_STREAM, Clock().now())
    for name, changed in fields.items():
        owner = frame.call.context if name == 'rank' else frame.call
        setattr(owner, name, changed)
    return frame


def _chunk(stream: int, size: int, *, last: bool) -> Message:
    return ttypes.Frame(
        chunk=ttypes.BodyChunk(stream=stream, body=bytes(size), last=last)
    )


@pytest.mark.parametrize(
    'frames',
    [
        [_start(last=True)],
        [_start(body_size=-1)],
        [_start(body_size=2**40)],
        [_start(), _chunk(_FAULTY_STREAM, 1, last=False)],
        [_start(), _chunk(_FAULTY_STREAM, 1, last=True)],
        [_start(), _chunk(_FAULTY_STREAM, CHUNK_BYTES, last=True)],
        [_start(rank=99, last=True, body=b'', body_size=0)],
        [_start(headers=['x'], last=True, body=b'', body_size=0)],
    ],
    ids=[
        'announced size',
        'negative size',
        'large size',
        'short chunk',
        'short body',
        'long body',
        'rank',
        'header without value',
    ],
)
async def test_faulty_call_of_a_peer_ends_alone(frames: list[Message]) -> None:
    """The peer gets a refusal of this stream; its other calls go on."""
    async with _slow_call_at_work(_Target()) as pair:
        for frame in frames:
            await pair.client_end.send(encode_frame(frame))
        refused = await _refusal_of(pair.received, _FAULTY_STREAM)
        assert not refused.may_have_run
        assert refused.reason == 'invalid-call'
        assert len(pair.target.calls) == 1


async def test_second_call_on_a_stream_may_have_run() -> None:
    """The first one is at work, so that "not run" would not be true."""
    async with _slow_call_at_work(_Target()) as pair:
        first = _start(path='/slow', last=True, body=b'', body_size=0)
        for _ in range(2):
            await pair.client_end.send(encode_frame(first))
        refused = await _refusal_of(pair.received, _FAULTY_STREAM)
        assert refused.may_have_run


def _record_frames(stream: Any) -> list[Message]:
    """Return a list to which each frame that arrives is appended."""
    frames: list[Message] = []
    frame_buffer = FrameBuffer()
    receive = stream.receive

    async def receive_and_decode(max_bytes: int = 65536) -> bytes:
        received = await receive(max_bytes)
        frames.extend(frame_buffer.feed(received))
        return bytes(received)

    stream.receive = receive_and_decode
    return frames


async def _refusal_of(received: list[Message], stream_id: int) -> Message:
    while True:
        for frame in received:
            if frame.refused is not None and frame.refused.stream == stream_id:
                return frame.refused
        await anyio.sleep(0.001)


def _answer(**fields: Any) -> Message:
    start = _RESPONSE_START.answer
    names = [spec[2] for spec in start.thrift_spec if spec]
    copied = {name: getattr(start, name) for name in names}
    return ttypes.Frame(
        answer=ttypes.AnswerStart(
            **{**copied, 'stream': _FAULTY_STREAM, **fields}
        )
    )


@pytest.mark.parametrize(
    'frames',
    [
        [_answer(last=True)],
        [_answer(body_size=-1)],
        [_answer(), _chunk(_FAULTY_STREAM, 1, last=False)],
        [_answer(), _chunk(_FAULTY_STREAM, 1, last=True)],
        [_answer(body_size=5), _chunk(_FAULTY_STREAM, 100, last=True)],
        [_answer(headers=['x'], last=True, body=b'', body_size=0)],
        [
            ttypes.Frame(
                refused=ttypes.Refused(
                    stream=_FAULTY_STREAM,
                    may_have_run=False,
                    reason='unheard-of',
                    detail='',
                    retry_after_ms=0,
                    retries_left=0,
                )
            )
        ],
    ],
    ids=[
        'announced size',
        'negative size',
        'short chunk',
        'short body',
        'long body',
        'header without value',
        'unknown reason',
    ],
)
async def test_faulty_response_of_a_peer_ends_alone(
    frames: list[Message],
) -> None:
    """The call may have run; the others on the connection go on."""
    async with _slow_call_at_work(_Target()) as pair:
        outcomes: list[Outcome] = []

        async def make_call() -> None:
            outcomes.append(await pair.call(path='/slow'))

        async with anyio.create_task_group() as calls:
            calls.start_soon(make_call)
            while len(pair.target.calls) < 2:
                await anyio.sleep(0)
            for frame in frames:
                await pair.server_end.send(encode_frame(frame))
        assert isinstance(outcomes[0].error, MayHaveRun), outcomes[0]
        assert outcomes[0].error.reason is Reason.TARGET_FAILED


@pytest.mark.parametrize('side', ['client_end', 'server_end'])
async def test_faulty_control_frame_ends_no_call(side: str) -> None:
    """Control frames share the connection with calls.

    An unexpected error in the service that they concern costs the frame alone.
    """
    async with _slow_call_at_work(_Target()) as pair:
        leaving = ttypes.Leaving(node_id='a' * 16)
        frame = encode_frame(ttypes.Frame(leaving=leaving))
        await getattr(pair, side).send(frame)
        assert (await pair.call()).is_ok()


@settings(max_examples=60)
@given(
    request_id=_VALUE_TEXTS,
    headers=st.lists(
        st.tuples(st.text('abc-_!', min_size=1, max_size=300), _VALUE_TEXTS),
        min_size=1,
        max_size=10,
    ),
    count=st.sampled_from((1, 3, 15)),
)
def test_any_text_of_a_call_passes_to_the_next_node(
    request_id: str, headers: list[tuple[str, str]], count: int
) -> None:
    """Ids and headers arrive as the client sent them."""
    sent = tuple(headers * count)

    async def run() -> None:
        async with _slow_call_at_work(_Target(sent)) as pair:
            outcome = await pair.call(request_id=request_id, headers=sent)
            assert outcome.is_ok(), outcome
            served = pair.target.calls[-1]
            assert served.context.request_id == request_id
            assert served.headers == sent
            assert outcome.ok.headers == sent

    anyio.run(run)
