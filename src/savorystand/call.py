"""A call, its context and its response.

Objects of these classes are not changed after they have been passed on. The
exception is the response of the local target, to which the node adds the retry
budget and the load. Frozen data classes would enforce this, but take three
times as long to construct.
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
    from savorystand.target_notice import Incarnation
    from savorystand.target_notice import TargetHint

Headers: TypeAlias = tuple[tuple[str, str], ...]
# Not changed once it is part of a request, call or response.
Body: TypeAlias = bytes | bytearray
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599


@final
class Importance(IntEnum):
    """Order in which calls are shed: the lowest rank is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


@final
@dataclass(slots=True, kw_only=True)
class CallContext:
    """Context that is passed on with a request to all downstream calls.

    ``deadline_ms`` is a time of the local monotonic clock in milliseconds. The
    clocks of nodes differ, so the remaining time is sent on the wire.
    ``execution_id`` names the execution at a target that made the call; it is
    empty for external callers.
    """

    request_id: str
    execution_id: str
    deadline_ms: float
    retries_left: int
    importance: Importance


@final
@dataclass(slots=True, kw_only=True)
class Call:
    """A request to a pool. ``path`` includes the query string.

    ``key`` is the idempotency key, empty without one. ``to_home`` is True if
    the call is forwarded to the home node of its key.
    ``attempt`` is the caller's number of this attempt, counted from 1, or 0 if
    the caller gives none. A node without a record of the key can report that
    the request has not run only if this is declared as the first attempt.
    ``parent_route`` is the route of the execution that made the call, if the
    local node knows it; it is not sent to other nodes. ``hint`` tells a node
    that has restarted what the caller remembers of its target.
    """

    context: CallContext
    route: Route
    method: str
    path: str
    headers: Headers
    body: Body
    key: str = ''
    to_home: bool = False
    attempt: int = 0
    parent_route: str = ''
    hint: TargetHint | None = None

    @property
    def is_first_attempt(self) -> bool:
        """Return True if the caller declares this as its first attempt."""
        return self.attempt == 1

    def with_retries(self, retries: int) -> Call:
        """Return the call with ``retries`` as its retry budget.

        The copy is made for each attempt; ``dataclasses.replace`` would take
        ten times as long.
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
            hint=self.hint,
        )


@final
@dataclass(slots=True, kw_only=True)
class TargetLoad:
    """Load of a target as reported by its node.

    ``admitted_rank`` is the lowest rank of importance that is admitted at
    present. ``expected_ms`` is the expected queueing plus service time of a
    new call. ``slow`` is True if the target is much slower than usual. Calls
    of a rank below ``pressed_rank`` are refused or delayed, at this target or
    at one downstream on the route of the answered call. ``rate_limit`` is the
    number of calls a second that the target takes from all nodes, None without
    such a limit. ``leaving`` is set once the target leaves.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    admitted_rank: int = 0
    expected_ms: int = 0
    slow: bool = False
    pressed_rank: int = 0
    rate_limit: float | None = None
    leaving: Incarnation | None = None


@final
@dataclass(slots=True, kw_only=True)
class Response:
    """A complete response of a target.

    ``retries_left`` is the retry budget that is returned to the caller.
    """

    status: int
    headers: Headers
    body: Body
    retries_left: int = 0
    load: TargetLoad = field(default_factory=TargetLoad)

    def with_retries(self, retries: int) -> Response:
        """Return the response with ``retries`` as the remaining budget."""
        return Response(
            status=self.status,
            headers=self.headers,
            body=self.body,
            retries_left=retries,
            load=self.load,
        )


def is_final_status(status: int) -> bool:
    """Return True for a status that a final response may have.

    Statuses of 600 and above are invalid (RFC 9110, section 15).
    """
    return _MIN_FINAL_STATUS <= status <= _MAX_STATUS


Outcome: TypeAlias = Result[Response, Refusal]


class Answered(Result[Response, Refusal]):
    """The outcome of a call that received a response.

    The constructor of the base class takes ten times as long, mostly to check
    the name of the case.
    """

    __slots__ = ()

    def __init__(self, response: Response) -> None:
        """Initialize the outcome with a complete response."""
        self.__dict__.update(tag='ok', ok=response)
