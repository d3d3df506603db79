"""ASGI application of the platform stand-in."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.clock import Clock
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import Receive
from savorystand.gateway.asgi import Scope
from savorystand.gateway.asgi import Send
from savorystand.gateway.asgi import json_response
from savorystand.gateway.asgi import request_body
from savorystand.gateway.asgi import send_response
from savorystand.lab.platform.behaviour import COUNTED_ERA
from savorystand.lab.platform.behaviour import Behaviour
from savorystand.lab.platform.behaviour import BehaviourError
from savorystand.lab.platform.behaviour import RateCounter
from savorystand.lab.platform.rows import RefusedError
from savorystand.lab.platform.rows import RowTables

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

# ASGI extension that closes the connection without sending a response.
CLOSE_EXTENSION = 'savorystand.close'
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_FORBIDDEN = 403
_THROTTLED = 429
_UNAVAILABLE = 503
# The users' platform requires no key, so the stand-in also accepts requests
# without an authorization header.
_NO_AUTHORIZATION = ''
_ERA_HEADER = 'store-era'
_FEED_POLL_INTERVAL_MS = 5
_OUTAGE_POLL_INTERVAL_MS = 20


class PlatformApplication:
    """Serves the table service and the object store at one address."""

    __slots__ = (
        '_behaviour',
        '_clock',
        '_key',
        '_reads',
        '_rows',
        '_rng',
        '_clients',
        '_silenced_clients',
        '_writes',
    )

    def __init__(self, *, key: str, seed: int, behaviour: Behaviour) -> None:
        """Create empty stores.

        ``key`` is the bearer token that a request may carry; ``seed`` drives
        latency jitter and the choice of lost responses.
        """
        self._key = key
        self._rng = random.Random(seed)
        self._behaviour = behaviour
        self._clock = Clock()
        self._rows = RowTables()
        self._clients: set[object] = set()
        self._silenced_clients: set[object] = set()
        self._reads = RateCounter()
        self._writes = RateCounter()

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request or inject a fault (ASGI version 3)."""
        body = await request_body(receive)
        if scope['path'] == '/control':
            await send_response(send, self._control(body))
            return
        if await self._is_silenced(scope, receive):
            return
        await self._delay()
        if await self._apply_outage(scope, send):
            return
        if scope['path'] == '/rows-feed':
            await self._await_change(_query(scope))
        if scope['method'] != 'GET' and self._should_lose_response():
            await self._lose_response(scope, body)
            return
        await send_response(send, self._with_era(self._serve(scope, body)))

    def _with_era(self, response: HttpResponse) -> HttpResponse:
        era = self._behaviour.era
        if era == COUNTED_ERA:
            era = str(self._rows.restores)
        headers = ((_ERA_HEADER, era),) if era else ()
        return replace(response, headers=(*response.headers, *headers))

    def _control(self, body: bytes) -> HttpResponse:
        try:
            self._change(json.loads(body or '{}'))
        except (ValueError, BehaviourError) as exc:
            return json_response({'problem': str(exc)}, status=_BAD_REQUEST)
        return json_response(
            {
                'behaviour': self._behaviour.document(),
                'reads': self._reads.document(),
                'writes': self._writes.document(),
            },
        )

    def _change(self, document: object) -> None:
        if document == {'silence_open': True}:
            self._silenced_clients = set(self._clients)
        elif document == {'forget_history': True}:
            self._rows.forget_history()
        elif document == {'keep_copy': True}:
            self._rows.keep_copy()
        elif document == {'restore': True}:
            self._rows.restore()
        else:
            self._behaviour = self._behaviour.changed(document)

    async def _is_silenced(self, scope: Scope, receive: Receive) -> bool:
        client = scope['client']
        self._clients.add(client)
        if client not in self._silenced_clients:
            return False
        await receive()
        return True

    async def _delay(self) -> None:
        jitter = self._rng.random() * self._behaviour.jitter_ms
        await self._clock.sleep(self._behaviour.latency_ms + jitter)

    async def _apply_outage(self, scope: Scope, send: Send) -> bool:
        match self._behaviour.outage:
            case 'error':
                await send_response(send, HttpResponse(status=_UNAVAILABLE))
            case 'close':
                await _close(scope)
            case 'silent':
                while self._behaviour.outage == 'silent':
                    await self._clock.sleep(_OUTAGE_POLL_INTERVAL_MS)
                await _close(scope)
            case _:
                return False
        return True

    def _should_lose_response(self) -> bool:
        remaining = self._behaviour.lose_next
        if remaining > 0:
            self._behaviour = replace(self._behaviour, lose_next=remaining - 1)
            return True
        return self._rng.random() < self._behaviour.lose_share

    async def _lose_response(self, scope: Scope, body: bytes) -> None:
        late_ms = self._behaviour.late_ms
        if not late_ms:
            self._serve(scope, body)
        await _close(scope)
        if late_ms:
            # uvicorn does not cancel the application after a disconnect, so the
            # write can still be applied.
            await anyio.sleep(late_ms / MS_PER_SECOND)
            self._serve(scope, body)

    def _serve(self, scope: Scope, body: bytes) -> HttpResponse:
        headers = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in scope['headers']
        }
        key = headers.get('authorization', _NO_AUTHORIZATION)
        if key not in {_NO_AUTHORIZATION, f'Bearer {self._key}'}:
            return HttpResponse(status=_FORBIDDEN)
        writing = scope['method'] != 'GET'
        if not self._within_limits(int(not writing), int(writing)):
            return HttpResponse(status=_THROTTLED)
        try:
            return self._dispatch(scope['path'], _query(scope), headers, body)
        except RefusedError as exc:
            return json_response(exc.document, status=exc.status)
        except (KeyError, TypeError, ValueError) as exc:
            return json_response({'error': repr(exc)}, status=_BAD_REQUEST)

    def _dispatch(
        self,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> HttpResponse:
        _, call, name = f'{path}/'.split('/', 2)
        match call:
            case 'rows-tx':
                return json_response(self._rows.transact(body))
            case 'rows-get':
                return json_response(self._rows.read(query))
            case 'rows-feed':
                return json_response(self._rows.changes(query))
            case 'blob-put':
                absent = headers.get('if-none-match') == '*'
                self._rows.put_object(name, body, absent=absent)
                return HttpResponse(status=_OK)
            case 'blob-get':
                return HttpResponse(
                    status=_OK, body=self._rows.get_object(name)
                )
            case _:
                return HttpResponse(status=_NOT_FOUND)

    async def _await_change(self, query: dict[str, str]) -> None:
        known_version = int(query['after'])
        restores = self._rows.restores
        end_ms = self._clock.now() + float(query.get('waitMs', 0))
        while (
            self._rows.version == known_version
            and self._rows.restores == restores
            and self._clock.now() < end_ms
        ):
            await self._clock.sleep(_FEED_POLL_INTERVAL_MS)

    def _within_limits(self, reads: int, writes: int) -> bool:
        second = int(self._clock.now() // MS_PER_SECOND)
        cfg = self._behaviour
        return self._reads.add(
            reads,
            second=second,
            limit=cfg.reads_limit,
        ) and self._writes.add(writes, second=second, limit=cfg.writes_limit)


def platform_app(
    *,
    key: str,
    seed: int = 0,
    behaviour: Behaviour | None = None,
) -> PlatformApplication:
    """Return the ASGI application, without faults by default."""
    return PlatformApplication(
        key=key,
        seed=seed,
        behaviour=behaviour or Behaviour(),
    )


def _query(scope: Scope) -> dict[str, str]:
    return dict(parse_qsl(scope['query_string'].decode()))


async def _close(scope: Scope) -> None:
    close: Callable[[], Awaitable[None]] = scope['extensions'][CLOSE_EXTENSION]
    await close()
