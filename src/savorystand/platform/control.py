"""Requests of the platform itself: readiness and announcements."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import runtime_checkable

from savorystand.dispatch.announcements import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import Receive
from savorystand.gateway.asgi import RequestAbortedError
from savorystand.gateway.asgi import RequestTooLargeError
from savorystand.gateway.asgi import Scope
from savorystand.gateway.asgi import Send
from savorystand.gateway.asgi import json_response
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import send_response
from savorystand.reporting.logs import Event
from savorystand.reporting.logs import EventLog
from savorystand.reporting.logs import EventName
from savorystand.reporting.logs import Level

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

_READY = '/readyz'
_HEARTBEAT = '/Instances.Heartbeat/'
_DEREGISTER = '/Instances.Deregister/'
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_LEAVING = 'draining'
_STATES = frozenset(('ready', _LEAVING))
_MAX_NAME = 200
_MALFORMED = (AttributeError, KeyError, RecursionError, TypeError, ValueError)


@runtime_checkable
class Readiness(Protocol):
    """Tells whether this node takes requests of clients."""

    def ready(self) -> bool:
        """Return True while it does."""


class ControlRequests:
    """Answers what the platform asks of a node beside a worker."""

    __slots__ = ('_address', '_kernel', '_log')

    def __init__(self, *, kernel: Kernel, worker_address: str) -> None:
        """Take announcements of the worker at ``worker_address``."""
        self._kernel = kernel
        self._log = kernel.find('log', EventLog)
        self._address = worker_address

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI version 3)."""
        if scope['type'] != 'http':
            return
        try:
            body = await request_body(receive)
        except (RequestAbortedError, RequestTooLargeError):
            return
        await send_response(
            send, self._serve(scope['method'], scope['path'], body)
        )

    def close_connections(self) -> None:
        """Keep connections: the platform asks until the process ends."""

    def _serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        if method == 'GET' and path == _READY:
            ready = self._kernel.find('readiness', Readiness).ready()
            return HttpResponse(status=_OK if ready else _UNAVAILABLE)
        if method == 'POST' and path.startswith(_HEARTBEAT):
            return self._heartbeat(path.removeprefix(_HEARTBEAT), body)
        if method == 'POST' and path.startswith(_DEREGISTER):
            announcements = self._kernel.find('announcements', Announcements)
            announcements.deregister(path.removeprefix(_DEREGISTER))
            return json_response({})
        return HttpResponse(status=_NOT_FOUND)

    def _heartbeat(self, worker_id: str, body: bytes) -> HttpResponse:
        announcement = self._decode(worker_id, body)
        if announcement is None:
            self._log.write(
                Event(
                    name=EventName.ANNOUNCEMENT_REFUSED,
                    level=Level.WARNING,
                    detail=worker_id[:_MAX_NAME],
                )
            )
            return HttpResponse(status=_BAD_REQUEST)
        self._kernel.find('announcements', Announcements).accept(announcement)
        return json_response({})

    def _decode(self, worker_id: str, body: bytes) -> Announcement | None:
        try:
            fields = json.loads(body)
            return self._announcement(worker_id, fields)
        except _MALFORMED:
            # From another writer, or cut short.
            return None

    def _announcement(
        self, worker_id: str, fields: dict[str, Any]
    ) -> Announcement | None:
        state = fields['state']
        service = fields['service']
        slots = fields['capacity']
        # ``sequence`` counts within one life of the worker, ``born`` is the
        # Unix millisecond at which that began.
        sequence = fields['sequence']
        started_ms = fields.get('born', 0)
        numbers = (slots, sequence, started_ms)
        if not all(map(_is_whole, numbers)):
            return None
        if state not in _STATES or not isinstance(service, str):
            return None
        if fields['address'] != self._address or slots < 1 or not worker_id:
            return None
        return Announcement(
            instance=worker_id,
            started_ms=started_ms,
            sequence=sequence,
            pool=service,
            slots=slots,
            leaving=state == _LEAVING,
        )


def _is_whole(number: object) -> bool:
    # JSON's true and false are numbers to Python.
    return isinstance(number, int) and not isinstance(number, bool)
