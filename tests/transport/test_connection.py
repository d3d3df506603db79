"""Tests of calls on connections that fail.

They guard against a wrong verdict, a response that reaches another caller and a
truncated response after a connection breaks or goes silent, and against calls
that are never forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import anyio
from expression import Error
from expression import Ok
from expression import Result
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.call import Response
from savorystand.call import TargetLoad
from savorystand.clock import Clock
from savorystand.tables.route import Route
from savorystand.transport.address import PeerAddress
from savorystand.transport.connection import PeerConnection
from savorystand.transport.connection import monitor_silence
from savorystand.transport.conversion import call_frame
from savorystand.transport.server import ServerConnection
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.wire.codec import encode_frame
from savorystand.wire.gen.wire import ttypes
from tests.streams import faulty_pair

if TYPE_CHECKING:
    from savorystand.call import Outcome

_ROUTE = Route(
    name='lookup',
    method='POST',
    path='/lookup',
    pool='catalog',
    importance=Importance.HIGH,
    idempotent=True,
)


@dataclass(slots=True)
class RecordingTarget:
    """Target that records the calls it serves and refuses some paths."""

    refused_paths: frozenset[str]
    served_paths: set[str] = field(default_factory=set)

    def route(self, name: str) -> Route | None:
        """Return the only route, or None for another name."""
        return _ROUTE if name == _ROUTE.name else None

    def load(self) -> TargetLoad:
        """Return the load report of an idle target."""
        return TargetLoad()

    async def serve(self, call: Call) -> Outcome:
        """Return the body twice, or refuse the call without running it."""
        if call.path in self.refused_paths:
            return Error(NotRun(reason=Reason.OVERLOADED))
        self.served_paths.add(call.path)
        await anyio.sleep(0)
        return Ok(Response(status=200, headers=(), body=call.body * 2))


class IgnoredControl:
    """Control responder that ignores all frames."""

    def answer(self, frame: Any) -> None:
        """Return None, so that no frame is sent in response."""


def _make_call(number: int, size: int, deadline_ms: float) -> Call:
    return Call(
        context=CallContext(
            request_id=str(number),
            execution_id='',
            deadline_ms=deadline_ms,
            retries_left=2,
            importance=Importance.HIGH,
        ),
        route=_ROUTE,
        method='POST',
        path=f'/lookup/{number}',
        headers=(('accept', '*/*'),),
        body=bytes([number % 251]) * size,
    )


async def _run_calls(
    sizes: list[int],
    target: RecordingTarget,
    faults: dict[str, Any],
) -> dict[int, Outcome]:
    clock = Clock()
    client_end, server_end = faulty_pair(**faults)
    conn = PeerConnection(
        clock=clock,
        on_load=lambda load: None,
        on_control=lambda frame: None,
    )
    server = ServerConnection(
        clock=clock,
        inbound=target,
        control=IgnoredControl(),
    )
    outcomes: dict[int, Outcome] = {}

    async def make_call(number: int, size: int) -> None:
        call = _make_call(number, size, clock.now() + 5000)
        outcomes[number] = await conn.call(call)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(conn.run, client_end)
        peer = PeerAddress(node_id='far', host='127.0.0.1', port=1)
        tasks.start_soon(monitor_silence, clock, {peer: conn})
        tasks.start_soon(server.run, server_end)
        async with anyio.create_task_group() as calls:
            for number, size in enumerate(sizes):
                calls.start_soon(make_call, number, size)
        tasks.cancel_scope.cancel()
    return outcomes


def _check_outcomes(
    sizes: list[int],
    target: RecordingTarget,
    outcomes: dict[int, Outcome],
) -> None:
    for number, size in enumerate(sizes):
        match outcomes[number]:
            case Result(tag='ok', ok=response):
                assert response.body == bytes([number % 251]) * size * 2
            case Result(error=NotRun()):
                assert f'/lookup/{number}' not in target.served_paths
            case Result(error=refusal):
                assert isinstance(refusal, MayHaveRun)


@settings(max_examples=60)
@given(
    sizes=st.lists(st.integers(0, 60000), min_size=1, max_size=6),
    refused=st.frozensets(st.integers(0, 5)),
    cut_request=st.none() | st.integers(0, 150000),
    cut_response=st.none() | st.integers(0, 150000),
)
def test_cut_connection_gives_correct_outcomes(
    sizes: list[int],
    refused: frozenset[int],
    cut_request: int | None,
    cut_response: int | None,
) -> None:
    """A cut at any byte gives correct verdicts and no partial body."""
    target = RecordingTarget(
        refused_paths=frozenset(f'/lookup/{number}' for number in refused),
    )
    faults = {
        'cut_request_after': cut_request,
        'cut_response_after': cut_response,
    }
    outcomes = anyio.run(_run_calls, sizes, target, faults)
    _check_outcomes(sizes, target, outcomes)


def test_silent_connection_is_closed() -> None:
    """Calls on a silent connection end before their deadline."""
    target = RecordingTarget(refused_paths=frozenset())
    faults = {'cut_response_after': 10, 'silent': True}
    outcomes = anyio.run(_run_calls, [10, 20], target, faults)
    for outcome in outcomes.values():
        assert outcome.error == MayHaveRun(reason=Reason.CONNECTION_LOST)


def test_call_cancelled_at_once_is_forgotten() -> None:
    """A call that is cancelled before it starts must not count as running.

    The server would wait for it when it stops, and refuse all calls of the peer
    after some thousand of them.
    """
    assert not anyio.run(_is_busy_after_cancelled_call)


async def _is_busy_after_cancelled_call() -> bool:
    clock = Clock()
    client_end, server_end = faulty_pair()
    target = RecordingTarget(refused_paths=frozenset())
    server = ServerConnection(
        clock=clock, inbound=target, control=IgnoredControl()
    )
    now = clock.now()
    start = call_frame(_make_call(1, 10, now + 5000), 1, now)
    cancel = ttypes.Frame(cancel=ttypes.Cancel(stream=1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, server_end)
        await client_end.send(encode_frame(start) + encode_frame(cancel))
        await anyio.wait_all_tasks_blocked()
        is_busy = server.busy()
        tasks.cancel_scope.cancel()
    assert not target.served_paths
    return is_busy
