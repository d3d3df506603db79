"""HTTP headers and responses between a node and its target."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from expression import Error
from expression import Ok

from savorystand.gateway import headers as header_names
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.call import Response
    from savorystand.gateway.response_reader import HeadObserver
    from savorystand.gateway.response_reader import ResponseMatcher
    from savorystand.gateway.target import TargetBinding

# Statuses of gateways and unavailable services (RFC 9110, sections 15.6.3 to
# 15.6.5), which do not tell whether the call ran. Status 500 is an error of the
# service itself and is returned to the caller like any other response.
_FAILED_STATUSES = frozenset((502, 503, 504))
# Value of the verdict header with which a target states that it has not run the
# call. Without it the status alone determines the outcome.
_NOT_RUN_VERDICT = 'not-run'


class TargetAdapter(Protocol):
    """Converts calls to request headers, and responses to outcomes."""

    def request_headers(
        self,
        call: Call,
        execution_id: str,
        remaining_ms: float,
        binding: TargetBinding,
    ) -> Headers:
        """Return the request headers of a call without content-length."""

    def response_matcher(
        self, call: Call, *, is_first: bool
    ) -> ResponseMatcher | None:
        """Return a function that recognises the response to a call.

        ``is_first`` is True if no request preceded it on the connection.
        It is None if responses do not identify their request. If a second
        response then arrives together with the first, for example a late one
        to an earlier request, either could belong to the call, and the call
        fails with ``MayHaveRun``.
        """

    def head_observer(self, call: Call) -> HeadObserver | None:
        """Return a function to call with the head of each final response.

        It is called before the body arrives, also for responses to other
        requests. None if responses carry no notices of the target.
        """

    def outcome_of(self, response: Response) -> Outcome:
        """Return the outcome of a call from its complete response."""


class ContextAdapter:
    """Adapter for targets that use the ``savorystand-*`` headers.

    Requests carry ``savorystand-deadline`` and ``savorystand-context``; targets
    copy the latter to the calls that they make. Responses may carry
    ``savorystand-verdict``.
    """

    __slots__ = ('_host',)

    def __init__(self, *, host: str) -> None:
        """Send ``host``, in the form ``IP:PORT``, as host header."""
        self._host = host

    def request_headers(
        self,
        call: Call,
        execution_id: str,
        remaining_ms: float,
        binding: TargetBinding,
    ) -> Headers:
        """Return the request headers of a call without content-length.

        These targets have no ids that a request could name.
        """
        context = header_names.format_context(call.context, execution_id)
        return (
            ('host', self._host),
            (header_names.DEADLINE, str(int(remaining_ms))),
            (header_names.CONTEXT, context),
            *call.headers,
        )

    def response_matcher(
        self, call: Call, *, is_first: bool
    ) -> ResponseMatcher | None:
        """Return None, because responses do not identify their request."""

    def head_observer(self, call: Call) -> HeadObserver | None:
        """Return None, because these targets send no notices."""

    def outcome_of(self, response: Response) -> Outcome:
        """Return the outcome of a call from its complete response.

        It is ``NotRun`` if the verdict header states that the target refused
        the call, ``MayHaveRun`` for status 502, 503 or 504, and otherwise the
        response with the headers that are forwarded end to end.
        """
        verdict = header_names.header(response.headers, header_names.VERDICT)
        if verdict == _NOT_RUN_VERDICT:
            detail = f'target refused the call with status {response.status}'
            return Error(NotRun(reason=Reason.TARGET_REFUSED, detail=detail))
        if response.status in _FAILED_STATUSES:
            detail = f'target responded with status {response.status}'
            failure = MayHaveRun(reason=Reason.TARGET_FAILED, detail=detail)
            return Error(failure)
        return Ok(
            replace(
                response,
                headers=header_names.forwarded_headers(response.headers),
            )
        )
