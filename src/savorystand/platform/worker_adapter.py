"""Adapter for the HTTP headers of the platform's workers."""

from __future__ import annotations

import re
from functools import partial
from typing import TYPE_CHECKING

from expression import Error

from savorystand.call import Answered
from savorystand.call import Response
from savorystand.clock import Clock
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.target_notices import TargetNotices
from savorystand.gateway.headers import NOT_FORWARDED
from savorystand.gateway.headers import split_values
from savorystand.platform import headers as header_names
from savorystand.target_notice import RateNamed
from savorystand.target_notice import RateOmitted
from savorystand.target_notice import RateUnreadable
from savorystand.target_notice import TargetNotice
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.gateway.response_reader import HeadObserver
    from savorystand.gateway.response_reader import ResponseMatcher
    from savorystand.gateway.target import TargetBinding
    from savorystand.kernel.kernel import Kernel
    from savorystand.target_notice import Incarnation
    from savorystand.target_notice import RateStatement

# Status with which a worker responds if it is not the expected instance.
_MISDIRECTED = 421
_LEAVING = '1'
_DECIMAL = re.compile(r'\d+(\.\d*)?|\.\d+', re.ASCII)
# Above any rate of calls; keeps sums with a limit finite.
_MAX_PER_SECOND = 1e9
_DROPPED_HEADERS = NOT_FORWARDED | {header_names.LOAD}


class WorkerAdapter:
    """Translates calls and responses; implements ``TargetAdapter``."""

    __slots__ = ('_clock', '_local_pool', '_notices')

    def __init__(self, *, kernel: Kernel) -> None:
        """Pass the notices in responses to the ``notices`` of ``kernel``."""
        self._clock = kernel.find('clock', Clock)
        self._local_pool = kernel.find('local pool', LocalPool)
        self._notices = kernel.find('notices', TargetNotices)

    def request_headers(
        self,
        call: Call,
        execution_id: str,
        remaining_ms: float,
        binding: TargetBinding,
    ) -> Headers:
        """Return the headers of a call except the length of its body."""
        deadline = (header_names.DEADLINE, str(int(remaining_ms)))
        if not binding.instance:
            return (*call.headers, deadline)
        expected = (header_names.EXPECTED_INSTANCE, binding.instance)
        return (*call.headers, deadline, expected)

    def response_matcher(
        self, call: Call, *, is_first: bool
    ) -> ResponseMatcher:
        """Return a predicate on the headers of a response.

        It is False if the response belongs to another request, or names none
        although the connection had an earlier request, to which it may belong.
        """
        request_id = call.context.request_id
        return lambda headers: _matches_request(
            headers, request_id, is_first=is_first
        )

    def head_observer(self, call: Call) -> HeadObserver | None:
        """Return a function that passes on the notices of a response.

        Only the response that names the request counts: any other may be
        older than what is known, or that of another instance.
        """
        return partial(
            self._receive_head,
            call.context.request_id,
            self._local_pool.incarnation,
            self._clock.now(),
        )

    def outcome_of(self, response: Response) -> Outcome:
        """Return the outcome of a call to which the worker has responded."""
        if response.status == _MISDIRECTED:
            detail = 'target responded with status 421'
            return Error(NotRun(reason=Reason.DRAINING, detail=detail))
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

    def _receive_head(
        self,
        request_id: str,
        incarnation: Incarnation,
        sent_ms: float,
        status: int,
        headers: Headers,
    ) -> None:
        if status == _MISDIRECTED or not request_id:
            return
        if _named_requests(headers) != {request_id}:
            return
        leaving_flags = split_values(headers, header_names.LEAVING)
        self._notices.receive(
            TargetNotice(
                incarnation=incarnation,
                sent_ms=sent_ms,
                rate=_rate_statement(headers),
                leaving=_LEAVING in leaving_flags,
            )
        )


def _matches_request(
    headers: Headers, request_id: str, *, is_first: bool
) -> bool:
    # A worker cannot name a request that has no id.
    named = _named_requests(headers)
    if named - {''}:
        return named == {request_id}
    return is_first or not request_id


def _named_requests(headers: Headers) -> set[str]:
    return {text for name, text in headers if name == header_names.REQUEST_ID}


def _rate_statement(headers: Headers) -> RateStatement:
    # The lowest one counts if a response names several limits.
    texts = split_values(headers, header_names.RATE_LIMIT)
    if not texts:
        return RateOmitted()
    limits = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    if not limits:
        return RateUnreadable()
    return RateNamed(per_second=min(_MAX_PER_SECOND, *limits))
