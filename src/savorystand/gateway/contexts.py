"""Contexts of the calls that enter at this node."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.call import CallContext
from savorystand.call import Headers
from savorystand.gateway import headers as header_names
from savorystand.retry.executions import Execution
from savorystand.retry.executions import ExecutionRegistry
from savorystand.retry.policy import RetryPolicy

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.route import Route

# Deadline of a call that brings none, and the longest that is accepted.
DEFAULT_DEADLINE_MS = 10000
MAX_DEADLINE_MS = 120000
_REQUEST_ID_BYTES = 8
_MAX_DEADLINE_DIGITS = 16
_MAX_REQUEST_ID_LENGTH = 128


@final
@dataclass(slots=True, kw_only=True)
class Request:
    """One HTTP request; ``received_ms`` is when its headers had arrived."""

    method: str
    path: str
    headers: Headers
    body: bytes
    received_ms: float


class ContextFactory:
    """Derives a call's context from its request and where it came from."""

    __slots__ = ('_kernel',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Find retry policy and executions in ``kernel``."""
        self._kernel = kernel

    def external_context(self, request: Request, route: Route) -> CallContext:
        """Return the context of a call from outside the system."""
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
        """Return the context of a target's call that passes on none.

        Such a call gets no retries of its own, so that retries stay bounded
        end to end when services drop the context header.
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
        """Return the context of a call that an execution makes.

        It borrows the execution's whole retry budget; the caller settles it.
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
    # The context header separates its parts by semicolons.
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
    """Return the time that a caller waits, as its header says."""
    # Longer numbers exceed any deadline, and int() refuses very long ones.
    if not text.isdecimal() or len(text) > _MAX_DEADLINE_DIGITS:
        return DEFAULT_DEADLINE_MS
    return min(int(text), MAX_DEADLINE_MS)
