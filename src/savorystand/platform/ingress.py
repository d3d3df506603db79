"""Requests of the platform's clients and workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.parents import ParentInference
from savorystand.gateway import headers as node_header_names
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.contexts import Request
from savorystand.gateway.contexts import parse_deadline_ms
from savorystand.gateway.refusals import refusal_body
from savorystand.platform import headers as header_names
from savorystand.routing.splits import SplitChooser
from savorystand.tables.holder import TablesHolder
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import Refusal

if TYPE_CHECKING:
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.tables.route import Route

# A target that refused or was not reached is seldom back within less.
_MIN_RETRY_AFTER_MS = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMED_OUT = 504
_STATUS_NOT_RUN = {  # noqa: WPS407
    Reason.NO_ROUTE: 404,
    Reason.TOO_LARGE: 413,
}
# Set by this node, or stand for one connection only.
_REPLACED = node_header_names.CONNECTION_HEADERS | {
    header_names.CALLER_SERVICE,
    header_names.DEADLINE,
    header_names.EXPECTED_INSTANCE,
}


class Ingress:
    """Turns requests into calls and outcomes into responses.

    A ``RequestHandler``.
    """

    __slots__ = (
        '_dispatcher',
        '_parents',
        '_service',
        '_splits',
        '_tables',
        'clock',
        'closing',
        'unfinished_bytes',
    )

    def __init__(self, *, kernel: Kernel, service: str) -> None:
        """Serve what begins on the machine of ``service``."""
        self.clock = kernel.find('clock', Clock)
        self._dispatcher = kernel.find('dispatcher', Dispatcher)
        self._parents = kernel.find('parents', ParentInference)
        self._tables = kernel.find('tables', TablesHolder)
        self._service = service
        self.closing = False
        # Bytes of bodies that have arrived in part.
        self.unfinished_bytes = 0
        self._splits = SplitChooser()

    def close_connections(self) -> None:
        """Ask clients, from now on, to close after each answer."""
        self.closing = True

    def refuse(self, refusal: Refusal) -> HttpResponse:
        """Return the response to a request that is not served."""
        return _refusal(refusal)

    async def serve(self, request: Request) -> HttpResponse:
        """Return the response to a request."""
        tables = self._tables.current()
        if not tables.revision:
            # Nothing can be said of a route before any is known.
            detail = 'no configuration yet'
            return _refusal(NotRun(reason=Reason.UNAVAILABLE, detail=detail))
        # The first of each name counts.
        known = dict(reversed(request.headers))
        host = known.get('host', '').partition(':')[0]
        route = tables.match_host(host.lower(), request.path)
        request_id = known.get(header_names.REQUEST_ID, '')
        if route is None:
            refusal = NotRun(reason=Reason.NO_ROUTE, detail=request.path)
            return _refusal(refusal, request_id)
        remaining_ms = parse_deadline_ms(known.get(header_names.DEADLINE, ''))
        call = self._call(request, request_id, route, remaining_ms)
        return _reply(await self._dispatcher.call(call), request_id)

    def _call(
        self, request: Request, request_id: str, route: Route, remaining_ms: int
    ) -> Call:
        parent = self._parents.find(route, request.received_ms + remaining_ms)
        limit_ms = min(remaining_ms, route.limit_ms or remaining_ms)
        kept = [pair for pair in request.headers if pair[0] not in _REPLACED]
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
            headers=(*kept, (header_names.CALLER_SERVICE, self._service)),
            body=request.body,
        )


def _reply(outcome: Outcome, request_id: str) -> HttpResponse:
    match outcome:
        case Result(tag='ok', ok=response):
            return HttpResponse(
                status=response.status,
                headers=response.headers,
                body=response.body,
            )
        case Result(error=refusal):
            return _refusal(refusal, request_id)


def _refusal(refusal: Refusal, request_id: str = '') -> HttpResponse:
    headers = [('content-type', 'application/json')]
    if request_id:
        headers.append((header_names.REQUEST_ID, request_id))
    match refusal:
        case NotRun():
            status = _STATUS_NOT_RUN.get(refusal.reason, _UNAVAILABLE)
        case MayHaveRun(reason=Reason.DEADLINE):
            status = _TIMED_OUT
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
