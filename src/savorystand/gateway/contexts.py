"""Contexts of calls that this node receives over HTTP."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Body
from savorystand.call import CallContext
from savorystand.call import Headers
from savorystand.gateway import headers as header_names
from savorystand.retry.executions import Execution
from savorystand.retry.executions import ExecutionRegistry
from savorystand.retry.policy import RetryPolicy

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.route import Route

# Deadline of a request without a valid deadline header.
DEFAULT_DEADLINE_MS = 10000
# Longer deadlines are reduced to this.
MAX_DEADLINE_MS = 120000
_REQUEST_ID_BYTES = 8
_MAX_DEADLINE_DIGITS = 16
_MAX_REQUEST_ID_LENGTH = 128


@final
@dataclass(slots=True, kw_only=True)
class Request:
    """An HTTP request with its body.

    ``received_ms`` is the time of the clock when its headers were complete.
    """

    method: str
    path: str
    headers: Headers
    body: Body
    received_ms: float


class ContextFactory:
    """Creates the context of a call from its request, route and execution."""

    __slots__ = ('_kernel',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Use retry policy and execution registry of ``kernel``."""
        self._kernel = kernel

    def external_context(self, request: Request, route: Route) -> CallContext:
        """Return the context of a call from an external caller.

        It has the initial retry budget of the retry policy.
        """
        policy = self._kernel.find('retry', RetryPolicy)
        return CallContext(
            request_id=_request_id(request.headers),
            execution_id='',
            deadline_ms=request.received_ms + _deadline_ms(request.headers),
            retries_left=policy.initial_retries(),
            importance=route.importance,
        )

    def context_without_retries(
        self, request: Request, route: Route
    ) -> CallContext:
        """Return the context of a target's call whose execution is unknown.

        It has no retries, so that retries stay bounded end to end when a
        service does not forward the context header.
        """
        return CallContext(
            request_id=secrets.token_hex(_REQUEST_ID_BYTES),
            execution_id='',
            deadline_ms=request.received_ms + _deadline_ms(request.headers),
            retries_left=0,
            importance=route.importance,
        )

    def inherited_context(
        self,
        request: Request,
        route: Route,
        execution: Execution,
    ) -> CallContext:
        """Return the context of a call that ``execution`` makes.

        It takes all remaining retries of the execution. The caller has to
        return unused ones to the execution registry after the call.
        """
        registry = self._kernel.find('executions', ExecutionRegistry)
        request_deadline_ms = request.received_ms + _deadline_ms(
            request.headers
        )
        parent = execution.context
        return CallContext(
            request_id=parent.request_id,
            execution_id=execution.execution_id,
            deadline_ms=min(parent.deadline_ms, request_deadline_ms),
            retries_left=registry.take_retries(execution.execution_id),
            importance=max(parent.importance, route.importance),
        )


def _request_id(headers: Headers) -> str:
    text = header_names.header(headers, header_names.REQUEST_ID)
    # Semicolons separate the fields of the context header.
    if (
        0 < len(text) <= _MAX_REQUEST_ID_LENGTH
        and text.isascii()
        and ';' not in text
    ):
        return text
    return secrets.token_hex(_REQUEST_ID_BYTES)


def _deadline_ms(headers: Headers) -> int:
    return parse_deadline_ms(
        header_names.header(headers, header_names.DEADLINE)
    )


def parse_deadline_ms(text: str) -> int:
    """Return the deadline of a deadline header in milliseconds from now.

    The result is at most ``MAX_DEADLINE_MS``, and ``DEFAULT_DEADLINE_MS`` if
    the header is not a decimal number or has too many digits.
    """
    # int() raises an error for very long numbers, and numbers of more digits
    # exceed any deadline.
    if not text.isdecimal() or len(text) > _MAX_DEADLINE_DIGITS:
        return DEFAULT_DEADLINE_MS
    return min(int(text), MAX_DEADLINE_MS)
