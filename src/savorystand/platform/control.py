"""HTTP endpoints for the platform: readiness and worker announcements.

The platform runs the users' services and, beside them, the nodes. Its word for
the local target of a node is worker. A worker announces itself by heartbeats,
and its deregistration takes the local target out of its pool.

Names of paths and fields are those of the platform's protocol. Where this
package has other terms: ``service`` is the pool, ``capacity`` the number of
slots, ``born`` is ``started_ms`` and the state ``draining`` is ``leaving``.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING
from typing import Any

from savorystand.departures.departures import Departures
from savorystand.dispatch.announcement import Announcement
from savorystand.dispatch.announcements import Announcements
from savorystand.gateway.asgi import UNREAD_ERRORS
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import Receive
from savorystand.gateway.asgi import Scope
from savorystand.gateway.asgi import Send
from savorystand.gateway.asgi import json_response
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import send_response
from savorystand.gateway.readiness import Readiness
from savorystand.membership.conversion import MAX_NUMBER
from savorystand.membership.conversion import is_pool_name
from savorystand.memory.account import find_memory
from savorystand.reporting.logs import EventLog
from savorystand.reporting.target_events import announcement_refused

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

_READINESS_PATH = '/readyz'
_HEARTBEAT_PREFIX = '/Instances.Heartbeat/'
_DEREGISTER_PREFIX = '/Instances.Deregister/'
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_DRAINING = 'draining'
_STATES = frozenset(('ready', _DRAINING))
# A worker waits a second for an acknowledgement.
_MAX_SAVE_MS = 800
# More than one node can serve at once.
_MAX_SLOTS = 1000000
# A worker id is sent in headers and frames.
_WORKER_ID = re.compile('[\x21-\x7e]{1,128}')
# Fields of a heartbeat. ``sequence`` counts the announcements since the worker
# started, ``born`` is its start time in milliseconds since the Unix epoch.
# Without ``born`` the start counts as earlier than any announced one.
_TEXTS = ('service', 'address', 'zone', 'version', 'state')
_NUMBERS = ('capacity', 'sequence', 'born')
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class ControlEndpoints:
    """Serves readiness checks and announcements of the local worker."""

    __slots__ = ('_worker_address', '_kernel', '_log', '_memory')

    def __init__(self, *, kernel: Kernel, worker_address: str) -> None:
        """Accept announcements of the worker at ``worker_address`` only."""
        self._kernel = kernel
        self._log = kernel.find('log', EventLog)
        self._memory = find_memory(kernel)
        self._worker_address = worker_address

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI version 3)."""
        if scope['type'] != 'http':
            return
        try:
            body = await request_body(receive, self._memory)
        except UNREAD_ERRORS:
            # The client has disconnected, or ``uvicorn`` responds with status
            # 500 because no response was started.
            return
        method, path = scope['method'], scope['path']
        await send_response(send, await self._serve(method, path, body))

    def close_connections(self) -> None:
        """Do nothing: the platform sends requests until the process ends."""

    async def _serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        if method == 'GET' and path == _READINESS_PATH:
            ready = self._kernel.find('readiness', Readiness).ready()
            return HttpResponse(status=_OK if ready else _UNAVAILABLE)
        if method == 'POST' and path.startswith(_HEARTBEAT_PREFIX):
            return await self._serve_heartbeat(
                path.removeprefix(_HEARTBEAT_PREFIX), body
            )
        if method == 'POST' and path.startswith(_DEREGISTER_PREFIX):
            return await self._serve_deregistration(
                path.removeprefix(_DEREGISTER_PREFIX), body
            )
        return HttpResponse(status=_NOT_FOUND)

    async def _serve_deregistration(
        self, worker_id: str, body: bytes
    ) -> HttpResponse:
        if _WORKER_ID.fullmatch(worker_id) is None:
            return HttpResponse(status=_BAD_REQUEST)
        announcements = self._kernel.find('announcements', Announcements)
        announcements.deregister(worker_id, _decode_start(body))
        return await self._acknowledge_departure()

    async def _serve_heartbeat(
        self, worker_id: str, body: bytes
    ) -> HttpResponse:
        announcement = self._decode_heartbeat(worker_id, body)
        if announcement is None:
            self._log.write(announcement_refused(worker_id))
            return HttpResponse(status=_BAD_REQUEST)
        announcements = self._kernel.find('announcements', Announcements)
        announcements.accept(announcement)
        if not announcement.leaving:
            return json_response({})
        if announcements.is_named(announcement.pool):
            return await self._acknowledge_departure()
        return HttpResponse(status=_UNAVAILABLE)

    async def _acknowledge_departure(self) -> HttpResponse:
        departures = self._kernel.find('departures', Departures)
        saved = await departures.wait_saved(_MAX_SAVE_MS)
        # Without an acknowledgement the worker repeats its call.
        return json_response({}) if saved else HttpResponse(status=_UNAVAILABLE)

    def _decode_heartbeat(
        self, worker_id: str, body: bytes
    ) -> Announcement | None:
        try:
            return self._parse_announcement(worker_id, json.loads(body))
        except _DECODE_ERRORS:
            # Sent by something other than a worker, or truncated.
            return None

    def _parse_announcement(
        self, worker_id: str, fields: dict[str, Any]
    ) -> Announcement | None:
        """Return the announcement in the fields of a heartbeat.

        It is None if a field or the worker id is malformed, or if the address
        is not that of the local worker. Any process can send heartbeats.

        Raises one of ``_DECODE_ERRORS`` for a missing or incomparable field.
        """
        fields.setdefault('born', 0)
        is_typed = all(
            isinstance(fields[name], str) for name in _TEXTS
        ) and all(_is_integer(fields[name]) for name in _NUMBERS)
        is_known = fields['state'] in _STATES and _WORKER_ID.fullmatch(
            worker_id
        )
        is_in_range = (
            1 <= fields['capacity'] <= _MAX_SLOTS
            and 0 <= fields['born'] <= MAX_NUMBER
            and fields['warmupLeftMs'] >= 0
        )
        is_local = fields['address'] == self._worker_address
        is_valid = is_typed and is_known and is_in_range and is_local
        if not is_valid or not is_pool_name(fields['service']):
            return None
        return Announcement(
            instance=worker_id,
            started_ms=fields['born'],
            sequence=fields['sequence'],
            pool=fields['service'],
            slots=fields['capacity'],
            leaving=fields['state'] == _DRAINING,
        )


def _decode_start(body: bytes) -> int | None:
    # A deregistration may have no body. A body that cannot be read names no
    # incarnation either, and the departure holds all the same.
    try:
        started_ms = json.loads(body)['born']
    except _DECODE_ERRORS:
        return None
    is_start = _is_integer(started_ms) and 0 < started_ms <= MAX_NUMBER
    return started_ms if is_start else None


def _is_integer(number: object) -> bool:
    # Excludes true and false: ``bool`` is a subclass of ``int``.
    return isinstance(number, int) and not isinstance(number, bool)
