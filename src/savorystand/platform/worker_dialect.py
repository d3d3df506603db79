"""The headers between a node and the platform's worker beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error

from savorystand.call import Answer
from savorystand.call import Answered
from savorystand.dispatch.own_pool import OwnPool
from savorystand.gateway.headers import NOT_FORWARDED
from savorystand.platform import headers as names
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.gateway.http_connection import Belongs
    from savorystand.kernel.kernel import Kernel

# Another worker has the address.
_MISDIRECTED = 421
_DROPPED = NOT_FORWARDED | {names.LOAD}


class WorkerDialect:
    """Headers of calls to the worker; a ``TargetDialect``."""

    __slots__ = ('_own_pool',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Learn the worker's id from the ``own pool`` of ``kernel``."""
        self._own_pool = kernel.find('own pool', OwnPool)

    def request_headers(
        self, call: Call, execution_id: str, left_ms: float
    ) -> Headers:
        """Return the headers of a call, without the length of its body."""
        deadline = (names.DEADLINE, str(int(left_ms)))
        instance = self._own_pool.instance
        if not instance:
            return (*call.headers, deadline)
        expected = (names.EXPECTED_INSTANCE, instance)
        return (*call.headers, deadline, expected)

    def belongs(self, call: Call) -> Belongs:
        """Return a test for responses that do not name another request."""
        request_id = call.context.request_id
        return lambda headers: _names(headers, request_id)

    def judge(self, answer: Answer) -> Outcome:
        """Return what a whole response says of the call."""
        if answer.status == _MISDIRECTED:
            return Error(NotRun(reason=Reason.DRAINING, detail='status 421'))
        kept = []
        for pair in answer.headers:
            if pair[0] == names.NOT_RUN and pair[1]:
                detail = f'target refused with {answer.status}'
                refusal = NotRun(reason=Reason.TARGET_REFUSED, detail=detail)
                return Error(refusal)
            if pair[0] not in _DROPPED:
                kept.append(pair)
        return Answered(
            Answer(status=answer.status, headers=tuple(kept), body=answer.body)
        )


def _names(headers: Headers, request_id: str) -> bool:
    # True also for a response that names no request.
    for name, text in headers:
        if name == names.REQUEST_ID:
            return text in {'', request_id}
    return True
