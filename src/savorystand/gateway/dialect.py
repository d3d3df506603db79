"""How a node and its target speak HTTP with each other."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from expression import Error
from expression import Ok

from savorystand.gateway import headers as names
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Answer
    from savorystand.call import Call
    from savorystand.call import Headers
    from savorystand.call import Outcome
    from savorystand.gateway.http_connection import Belongs

_FAILED_STATUSES = frozenset((502, 503, 504))
_NOT_RUN = 'not-run'


class TargetDialect(Protocol):
    """Names and meanings of the headers between a node and its target."""

    def request_headers(
        self, call: Call, execution_id: str, left_ms: float
    ) -> Headers:
        """Return the headers of a call, without the length of its body."""

    def belongs(self, call: Call) -> Belongs | None:
        """Return what tells the call's answer from other responses.

        None if responses carry no identity: then a second response leaves
        open which of them is the answer.
        """

    def judge(self, answer: Answer) -> Outcome:
        """Return what a whole response says of the call."""


class ContextDialect:
    """The dialect of targets that pass the context header on."""

    __slots__ = ('_host',)

    def __init__(self, *, host: str) -> None:
        """Name the target as ``host``, ``IP:PORT``."""
        self._host = host

    def request_headers(
        self, call: Call, execution_id: str, left_ms: float
    ) -> Headers:
        """Return the headers of a call, without the length of its body."""
        context = names.format_context(call.context, execution_id)
        return (
            ('host', self._host),
            (names.DEADLINE, str(int(left_ms))),
            (names.CONTEXT, context),
            *call.headers,
        )

    def belongs(self, call: Call) -> Belongs | None:
        """Return None: responses carry no identity."""

    def judge(self, answer: Answer) -> Outcome:
        """Return what a whole response says of the call."""
        verdict = names.header(answer.headers, names.VERDICT)
        if verdict == _NOT_RUN:
            detail = f'target refused with {answer.status}'
            return Error(NotRun(reason=Reason.TARGET_REFUSED, detail=detail))
        if answer.status in _FAILED_STATUSES:
            detail = f'target answered {answer.status}'
            refusal = MayHaveRun(reason=Reason.TARGET_FAILED, detail=detail)
            return Error(refusal)
        return Ok(replace(answer, headers=names.forwarded(answer.headers)))
