"""A call, its context and its answer.

They are not changed once another part has them, but for the budget and load
that a node adds to the answer of its local target. Frozen data classes, which
would enforce that, take three times as long to make.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

from expression import Result

from savorystand.verdict import Refusal

if TYPE_CHECKING:
    from savorystand.tables.route import Route

Headers: TypeAlias = tuple[tuple[str, str], ...]


@final
class Importance(IntEnum):
    """How late a call is shed; the higher rank goes last."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


@final
@dataclass(slots=True, kw_only=True)
class CallContext:
    """What travels with a request through the whole chain.

    ``deadline_ms`` is in the local clock's monotonic milliseconds; on the
    wire the remaining time is sent, since clocks of nodes differ.
    ``execution_id`` names the execution, at a target, that made the call; it
    is empty for callers outside.
    """

    request_id: str
    execution_id: str
    deadline_ms: float
    retries_left: int
    importance: Importance


@final
@dataclass(slots=True, kw_only=True)
class Call:
    """One request on its way to a pool. ``path`` includes the query.

    ``attempt`` is the number that the caller gives to this attempt at its
    request, counted from 1, or 0. Only of a declared first attempt can a node
    that knows nothing of the key say that the request has not run.
    ``parent_route`` is the route of the execution that makes the call, where
    that is known to the node beside it; it does not travel.
    """

    context: CallContext
    route: Route
    method: str
    path: str
    headers: Headers
    body: bytes
    key: str = ''
    to_home: bool = False
    attempt: int = 0
    parent_route: str = ''

    @property
    def is_first_attempt(self) -> bool:
        """Return True if the caller declares its first attempt."""
        return self.attempt == 1

    def with_retries(self, retries: int) -> Call:
        """Return the call with another retry budget.

        ``dataclasses.replace`` takes ten times as long, on each attempt.
        """
        context = self.context
        if context.retries_left == retries:
            return self
        return Call(
            context=CallContext(
                request_id=context.request_id,
                execution_id=context.execution_id,
                deadline_ms=context.deadline_ms,
                retries_left=retries,
                importance=context.importance,
            ),
            route=self.route,
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=self.body,
            key=self.key,
            to_home=self.to_home,
            attempt=self.attempt,
            parent_route=self.parent_route,
        )


@final
@dataclass(slots=True, kw_only=True)
class TargetLoad:
    """Load of a target as its node reports it.

    ``admitted_rank`` is the lowest importance that is admitted at present,
    ``expected_ms`` the expected queueing plus service time of a new call,
    ``slow`` that the target is much slower than usual. Calls below
    ``pressed_rank`` are being refused or delayed, here or further down the
    route of the answered call.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    admitted_rank: int = 0
    expected_ms: int = 0
    slow: bool = False
    pressed_rank: int = 0


@final
@dataclass(slots=True, kw_only=True)
class Response:
    """A whole answer of a target."""

    status: int
    headers: Headers
    body: bytes
    retries_left: int = 0
    load: TargetLoad = field(default_factory=TargetLoad)

    def with_retries(self, retries: int) -> Response:
        """Return the answer with what is left of the retries."""
        return Response(
            status=self.status,
            headers=self.headers,
            body=self.body,
            retries_left=retries,
            load=self.load,
        )


Outcome: TypeAlias = Result[Response, Refusal]


class Answered(Result[Response, Refusal]):
    """The outcome of a call that was answered.

    The library's constructor takes ten times as long, mostly to check the
    name of the case.
    """

    __slots__ = ()

    def __init__(self, response: Response) -> None:
        """Hold a whole answer."""
        self.__dict__.update(tag='ok', ok=response)
