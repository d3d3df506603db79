"""ASGI application for requests from callers and the local target."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

import anyio
from expression import Error
from expression import Result

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Outcome
from savorystand.clock import Clock
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.gateway import headers as header_names
from savorystand.gateway.admin import AdminEndpoints
from savorystand.gateway.asgi import BodyReader
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import Receive
from savorystand.gateway.asgi import RequestAbortedError
from savorystand.gateway.asgi import RequestTooLargeError
from savorystand.gateway.asgi import Scope
from savorystand.gateway.asgi import Send
from savorystand.gateway.asgi import request_headers
from savorystand.gateway.asgi import request_path
from savorystand.gateway.asgi import send_response
from savorystand.gateway.caller_responses import answer_response
from savorystand.gateway.caller_responses import refusal_response
from savorystand.gateway.contexts import ContextFactory
from savorystand.gateway.contexts import Request
from savorystand.gateway.protocol import set_disconnect_callback
from savorystand.memory.account import find_memory
from savorystand.memory.errors import MemoryShortError
from savorystand.retry.executions import Execution
from savorystand.retry.executions import ExecutionRegistry
from savorystand.tables.holder import TablesHolder
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import refuse_undispatched

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.route import Route

_ADMIN_PREFIX = '/savorystand/'
_MAX_ATTEMPT_DIGITS = 6
_CONNECTION_CLOSE = (('connection', 'close'),)


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class CallerSource:
    """Source of requests on the listener for external callers."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class TargetSource:
    """Source of requests on the loopback listener for the local target."""


RequestSource: TypeAlias = CallerSource | TargetSource


class HttpApplication:
    """Converts HTTP requests of one listener to calls and dispatches them."""

    __slots__ = (
        '_admin',
        '_bodies',
        '_clock',
        '_closing',
        '_contexts',
        '_kernel',
        '_source',
    )

    def __init__(self, *, kernel: Kernel, source: RequestSource) -> None:
        """Create the application of the listener for ``source``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._source = source
        self._closing = False
        self._bodies = BodyReader(account=find_memory(kernel))
        self._contexts = ContextFactory(kernel=kernel)
        self._admin = kernel.find('admin', AdminEndpoints)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request (ASGI version 3); ignore other scopes."""
        if scope['type'] != 'http':
            return
        try:
            request = await self._read_request(scope, receive)
        except RequestAbortedError:
            return
        except RequestTooLargeError as exc:
            await self._refuse_unread_request(send, Reason.TOO_LARGE, str(exc))
            return
        except MemoryShortError:
            await self._refuse_unread_request(
                send, Reason.OVERLOADED, 'the node has no memory for the body'
            )
            return
        # A client that disconnects cancels the processing of its request.
        with anyio.CancelScope() as cancel_scope:
            set_disconnect_callback(scope, cancel_scope.cancel)
            response = await self._serve(request)
            if self._closing:
                response = replace(
                    response, headers=response.headers + _CONNECTION_CLOSE
                )
            await send_response(send, response)

    def close_connections(self) -> None:
        """Add ``connection: close`` to all further responses."""
        self._closing = True

    async def _refuse_unread_request(
        self,
        send: Send,
        reason: Reason,
        detail: str,
    ) -> None:
        # The rest of the request is not read. The connection is closed after
        # the response.
        response = refusal_response(
            self._kernel, NotRun(reason=reason, detail=detail), ''
        )
        response = replace(
            response, headers=response.headers + _CONNECTION_CLOSE
        )
        await send_response(send, response)

    async def _read_request(self, scope: Scope, receive: Receive) -> Request:
        received_ms = self._clock.now()
        return Request(
            method=scope['method'],
            path=request_path(scope),
            headers=request_headers(scope),
            body=await self._bodies.read(receive),
            received_ms=received_ms,
        )

    async def _serve(self, request: Request) -> HttpResponse:
        if request.path.startswith(_ADMIN_PREFIX):
            from_target = isinstance(self._source, TargetSource)
            return await self._admin.serve(
                request.method,
                request.path,
                request.headers,
                request.body,
                from_target=from_target,
            )
        tables = self._kernel.find('tables', TablesHolder).current()
        route = tables.match(request.method, request.path)
        if route is None:
            detail = f'{request.method} {request.path}'
            key = header_names.header(
                request.headers, header_names.IDEMPOTENCY_KEY
            )
            refusal = refuse_undispatched(
                Reason.NO_ROUTE,
                detail=detail,
                no_earlier_run=not key or _attempt_number(request) == 1,
            )
            return refusal_response(self._kernel, refusal, '')
        return await self._serve_route(request, route)

    async def _serve_route(
        self, request: Request, route: Route
    ) -> HttpResponse:
        match self._source:
            case CallerSource():
                context = self._contexts.external_context(request, route)
                outcome = await self._dispatch(request, route, context)
            case TargetSource():
                context, outcome = await self._serve_target_call(request, route)
        match outcome:
            case Result(tag='ok', ok=response):
                return answer_response(response, context)
            case Result(error=refusal):
                return refusal_response(
                    self._kernel, refusal, context.request_id
                )

    async def _serve_target_call(
        self,
        request: Request,
        route: Route,
    ) -> tuple[CallContext, Outcome]:
        text = header_names.header(request.headers, header_names.CONTEXT)
        if not text:
            context = self._contexts.context_without_retries(request, route)
            return context, await self._dispatch(request, route, context)
        registry = self._kernel.find('executions', ExecutionRegistry)
        execution = registry.find(header_names.parse_execution_id(text))
        if execution is None:
            context = self._contexts.context_without_retries(request, route)
            refusal = NotRun(
                reason=Reason.CANCELLED,
                detail='the execution named in the context header has ended',
            )
            return context, Error(refusal)
        context = self._contexts.inherited_context(request, route, execution)
        outcome = await self._dispatch(request, route, context)
        _return_retries(registry, execution, outcome)
        return context, outcome

    async def _dispatch(
        self,
        request: Request,
        route: Route,
        context: CallContext,
    ) -> Outcome:
        dispatcher = self._kernel.find('dispatcher', Dispatcher)
        return await dispatcher.call(
            Call(
                context=context,
                route=route,
                method=request.method,
                path=request.path,
                headers=header_names.forwarded_headers(request.headers),
                body=request.body,
                key=header_names.header(
                    request.headers, header_names.IDEMPOTENCY_KEY
                ),
                attempt=_attempt_number(request),
            ),
        )


def _attempt_number(request: Request) -> int:
    text = header_names.header(request.headers, header_names.ATTEMPT)
    if not text.isdecimal() or len(text) > _MAX_ATTEMPT_DIGITS:
        return 0
    return int(text)


def _return_retries(
    registry: ExecutionRegistry,
    execution: Execution,
    outcome: Outcome,
) -> None:
    match outcome:
        case Result(tag='ok', ok=response):
            retries_left = response.retries_left
        case Result(error=refusal):
            retries_left = refusal.retries_left
    registry.return_retries(
        execution.execution_id,
        returned=retries_left,
        failed=outcome.is_error(),
    )
