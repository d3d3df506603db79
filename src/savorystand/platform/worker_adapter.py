"""Adapter for the HTTP headers of the platform's workers."""

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

# Status with which a worker responds if it is not the expected instance.
_MISDIRECTED = 421
_DROPPED_HEADERS = NOT_FORWARDED | {header_names.LOAD}


class WorkerAdapter:
    """Translates calls and responses; implements ``TargetAdapter``."""

    __slots__ = ('_local_pool',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Use the instance id that the ``local pool`` of ``kernel`` holds."""
        self._local_pool = kernel.find('local pool', LocalPool)

    def request_headers(
        self, call: Call, execution_id: str, remaining_ms: float
    ) -> Headers:
        """Return the headers of a call except the length of its body."""
        deadline = (header_names.DEADLINE, str(int(remaining_ms)))
        instance = self._local_pool.instance
        if not instance:
            return (*call.headers, deadline)
        expected = (header_names.EXPECTED_INSTANCE, instance)
        return (*call.headers, deadline, expected)

    def response_matcher(self, call: Call) -> ResponseMatcher:
        """Return a predicate on the headers of a response.

        It is False if the response belongs to another request.
        """
        request_id = call.context.request_id
        return lambda headers: _matches_request(headers, request_id)

    def outcome_of(self, response: Response) -> Outcome:
        """Return the outcome of a call to which the worker has responded."""
        if response.status == _MISDIRECTED:
            return Error(
                NotRun(
                    reason=Reason.DRAINING,
                    detail='target responded with status 421',
                )
            )
        forwarded = []
        for pair in response.headers:
            if pair[0] == header_names.NOT_RUN and pair[1]:
                detail = f'target refused with status {response.status}'
                refusal = NotRun(reason=Reason.TARGET_REFUSED, detail=detail)
                return Error(refusal)
            if pair[0] not in _DROPPED_HEADERS:
                forwarded.append(pair)
        return Answered(
            Response(
                status=response.status,
                headers=tuple(forwarded),
                body=response.body,
            )
        )


def _matches_request(headers: Headers, request_id: str) -> bool:
    # A response without a request id matches any request.
    for name, text in headers:
        if name == header_names.REQUEST_ID:
            return text in {'', request_id}
    return True
