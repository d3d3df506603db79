"""How a node and its target speak HTTP with each other."""

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
    from savorystand.gateway.http_connection import ResponseMatcher

_FAILED_STATUSES = frozenset((502, 503, 504))
_NOT_RUN_VERDICT = 'not-run'


class TargetAdapter(Protocol):
    """Names and meanings of the headers between a node and its target."""

    def request_headers(
        self, call: Call, execution_id: str, remaining_ms: float
    ) -> Headers:
        """Return the headers of a call, without the length of its body."""

    def response_matcher(self, call: Call) -> ResponseMatcher | None:
        """Return what tells the call's answer from other responses.

        None if responses carry no identity: then a second response leaves
        open which of them is the answer.
        """

    def outcome_of(self, response: Response) -> Outcome:
        """Return what a whole response says of the call."""


class ContextAdapter:
    """The adapter of targets that pass the context header on."""

    __slots__ = ('_host',)

    def __init__(self, *, host: str) -> None:
        """Name the target as ``host``, ``IP:PORT``."""
        self._host = host

    def request_headers(
        self, call: Call, execution_id: str, remaining_ms: float
    ) -> Headers:
        """Return the headers of a call, without the length of its body."""
        context = header_names.format_context(call.context, execution_id)
        return (
            ('host', self._host),
            (header_names.DEADLINE, str(int(remaining_ms))),
            (header_names.CONTEXT, context),
            *call.headers,
        )

    def response_matcher(self, call: Call) -> ResponseMatcher | None:
        """Return None: responses carry no identity."""

    def outcome_of(self, response: Response) -> Outcome:
        """Return what a whole response says of the call."""
        verdict = header_names.header(response.headers, header_names.VERDICT)
        if verdict == _NOT_RUN_VERDICT:
            detail = f'target refused with {response.status}'
            return Error(NotRun(reason=Reason.TARGET_REFUSED, detail=detail))
        if response.status in _FAILED_STATUSES:
            detail = f'target answered {response.status}'
            refusal = MayHaveRun(reason=Reason.TARGET_FAILED, detail=detail)
            return Error(refusal)
        return Ok(
            replace(
                response,
                headers=header_names.forwarded_headers(response.headers),
            )
        )
