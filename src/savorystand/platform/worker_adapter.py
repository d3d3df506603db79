"""The headers between a node and the platform's worker beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error

from savorystand.call import Answered
from savorystand.call import Response
from savorystand.dispatch.local_pool import LocalPool
from savorystand.gateway.headers import NOT_FORWARDED
from savorystand.platform import headers as header_names
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.gateway.http_connection import ResponseMatcher
    from savorystand.kernel.kernel import Kernel

# Another worker has the address.
_MISDIRECTED = 421
_DROPPED = NOT_FORWARDED | {header_names.LOAD}


class WorkerAdapter:
    """Headers of calls to the worker; a ``TargetAdapter``."""

    __slots__ = ('_local_pool',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Learn the worker's id from the ``local pool`` of ``kernel``."""
        self._local_pool = kernel.find('local pool', LocalPool)

    def request_headers(
        self, call: Call, execution_id: str, remaining_ms: float
    ) -> Headers:
        """Return the headers of a call, without the length of its body."""
        deadline = (header_names.DEADLINE, str(int(remaining_ms)))
        instance = self._local_pool.instance
        if not instance:
            return (*call.headers, deadline)
        expected = (header_names.EXPECTED_INSTANCE, instance)
        return (*call.headers, deadline, expected)

    def response_matcher(self, call: Call) -> ResponseMatcher:
        """Return a test for responses that do not name another request."""
        request_id = call.context.request_id
        return lambda headers: _names(headers, request_id)

    def outcome_of(self, response: Response) -> Outcome:
        """Return what a whole response says of the call."""
        if response.status == _MISDIRECTED:
            return Error(NotRun(reason=Reason.DRAINING, detail='status 421'))
        kept = []
        for pair in response.headers:
            if pair[0] == header_names.NOT_RUN and pair[1]:
                detail = f'target refused with {response.status}'
                refusal = NotRun(reason=Reason.TARGET_REFUSED, detail=detail)
                return Error(refusal)
            if pair[0] not in _DROPPED:
                kept.append(pair)
        return Answered(
            Response(
                status=response.status, headers=tuple(kept), body=response.body
            )
        )


def _names(headers: Headers, request_id: str) -> bool:
    # True also for a response that names no request.
    for name, text in headers:
        if name == header_names.REQUEST_ID:
            return text in {'', request_id}
    return True
