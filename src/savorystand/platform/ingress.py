"""Serves the requests of the platform's clients and workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.clock import MS_PER_SECOND
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.parents import ParentInference
from savorystand.gateway import headers as node_header_names
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.contexts import Request
from savorystand.gateway.contexts import parse_deadline_ms
from savorystand.gateway.refusals import refusal_body
from savorystand.gateway.request_handler import RequestHandler
from savorystand.platform import headers as header_names
from savorystand.reporting.events import request_refused
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.routing.splits import SplitChooser
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import Refusal

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.route import Route
    from savorystand.tables.tables import Tables

# A target that refused or was unreachable seldom recovers in less time.
_MIN_RETRY_AFTER_MS = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_NOT_RUN_STATUSES = {  # noqa: WPS407
    Reason.NO_ROUTE: 404,
    Reason.TOO_LARGE: 413,
}
# Request headers that this node sets itself or that are hop-by-hop.
_REPLACED_HEADERS = node_header_names.CONNECTION_HEADERS | {
    header_names.CALLER_SERVICE,
    header_names.DEADLINE,
    header_names.EXPECTED_INSTANCE,
}


class Ingress(RequestHandler):
    """Turns requests into calls and their outcomes into responses."""

    __slots__ = (
        '_dispatcher',
        '_local_pool',
        '_log',
        '_parents',
        '_service',
        '_splits',
    )

    def __init__(
        self, *, kernel: Kernel, service: str, max_descriptors: int
    ) -> None:
        """Serve requests of ``service``, unless the target names another."""
        super().__init__(kernel=kernel, max_descriptors=max_descriptors)
        self._log = kernel.find('log', EventLog)
        self._dispatcher = kernel.find('dispatcher', Dispatcher)
        self._parents = kernel.find('parents', ParentInference)
        self._local_pool = kernel.find('local pool', LocalPool)
        self._service = service
        self._splits = SplitChooser()

    def refuse(self, refusal: NotRun) -> HttpResponse:
        """Return the response to a request that has not arrived completely."""
        tables = self._tables.current()
        return self._refuse(EventName.CALL_REFUSED, '', refusal, tables)

    async def serve(self, request: Request) -> HttpResponse:
        """Route a request, run its call and return the response."""
        # The first header of each name takes precedence.
        first_values = dict(reversed(request.headers))
        request_id = first_values.get(header_names.REQUEST_ID, '')
        tables = self._tables.current()
        refusal = self._early_refusal(tables)
        if refusal is not None:
            name = EventName.CALL_REFUSED
            return self._refuse(name, request_id, refusal, tables)
        host = first_values.get('host', '').partition(':')[0]
        route = tables.match_host(host.lower(), request.path)
        if route is None:
            refusal = NotRun(reason=Reason.NO_ROUTE, detail=request.path)
            name = EventName.ROUTE_MISSING
            return self._refuse(name, request_id, refusal, tables)
        remaining_ms = parse_deadline_ms(
            first_values.get(header_names.DEADLINE, '')
        )
        call = self._call(request, request_id, route, remaining_ms)
        return _outcome_response(await self._dispatcher.call(call), request_id)

    def _early_refusal(self, tables: Tables) -> NotRun | None:
        if tables.revision:
            return self.late_refusal()
        # Without tables, an unknown route cannot be told from a known one.
        detail = 'no configuration received yet'
        return NotRun(reason=Reason.UNAVAILABLE, detail=detail)

    def _refuse(
        self, name: EventName, request_id: str, refusal: NotRun, tables: Tables
    ) -> HttpResponse:
        self._log.write_lazily(
            name,
            lambda: request_refused(name, request_id, refusal, tables.revision),
        )
        return _refusal_response(refusal, request_id)

    def _call(
        self, request: Request, request_id: str, route: Route, remaining_ms: int
    ) -> Call:
        asked_ms = request.received_ms + remaining_ms
        parent = self._parents.find(route, asked_ms, request_id)
        limit_ms = min(remaining_ms, route.limit_ms or remaining_ms)
        forwarded = [
            pair for pair in request.headers if pair[0] not in _REPLACED_HEADERS
        ]
        service = self._local_pool.pool or self._service
        return Call(
            context=CallContext(
                request_id=request_id,
                execution_id='',
                deadline_ms=request.received_ms + limit_ms,
                retries_left=0,
                importance=parent.importance if parent else route.importance,
            ),
            parent_route=parent.route if parent else '',
            route=self._splits.choose(route),
            method=request.method,
            path=request.path,
            headers=(*forwarded, (header_names.CALLER_SERVICE, service)),
            body=request.body,
        )


def _outcome_response(outcome: Outcome, request_id: str) -> HttpResponse:
    match outcome:
        case Result(tag='ok', ok=response):
            return HttpResponse(
                status=response.status,
                headers=response.headers,
                body=response.body,
            )
        case Result(error=refusal):
            return _refusal_response(refusal, request_id)


def _refusal_response(refusal: Refusal, request_id: str = '') -> HttpResponse:
    headers = [('content-type', 'application/json')]
    if request_id:
        headers.append((header_names.REQUEST_ID, request_id))
    match refusal:
        case NotRun():
            status = _NOT_RUN_STATUSES.get(refusal.reason, _UNAVAILABLE)
        case MayHaveRun(reason=Reason.DEADLINE):
            status = _GATEWAY_TIMEOUT
        case MayHaveRun():
            status = _BAD_GATEWAY
    if status == _UNAVAILABLE:
        wait_ms = max(refusal.retry_after_ms, _MIN_RETRY_AFTER_MS)
        seconds = wait_ms / MS_PER_SECOND
        headers.append((header_names.RETRY_AFTER, f'{seconds:.3f}'))
    return HttpResponse(
        status=status,
        headers=tuple(headers),
        body=refusal_body(refusal, request_id),
    )
