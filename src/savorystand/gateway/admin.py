"""HTTP endpoints of the node itself, under ``/savorystand/``."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from savorystand.deduplication.runner import KeyedRunner
from savorystand.dispatch.local_pool import LocalPool
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import json_response
from savorystand.gateway.headers import header
from savorystand.membership.conversion import MAX_NAME_BYTES

if TYPE_CHECKING:
    from savorystand.call import Body
    from savorystand.call import Headers
    from savorystand.kernel.kernel import Kernel

Query: TypeAlias = dict[str, list[str]]
Endpoint: TypeAlias = Callable[[Query], HttpResponse]

_MAX_ISSUED_KEYS = 1000
_MAX_COUNT_DIGITS = 4
_NO_CONTENT = 204
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_FORBIDDEN = 403
_NOT_FOUND = 404


class AdminEndpoints:
    """Dispatches the requests to the endpoints of the node.

    Key issue and health are open to all, announcements to the local target
    only; all others need the admin key.
    """

    __slots__ = ('_admin_key', '_kernel', '_protected', '_public')

    def __init__(self, *, kernel: Kernel, admin_key: str) -> None:
        """Require ``admin_key`` as bearer token on protected endpoints."""
        self._kernel = kernel
        self._admin_key = admin_key
        self._public: dict[str, Endpoint] = {
            'POST /savorystand/keys': self._issue_keys,
            'GET /savorystand/healthz': self._health,
        }
        self._protected: dict[str, Endpoint] = {}

    def add_protected(self, name: str, endpoint: Endpoint) -> None:
        """Add an endpoint that requires the admin key.

        ``name`` is method and path, such as ``GET /savorystand/status``.
        """
        self._protected[name] = endpoint

    async def serve(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: Body,
        *,
        from_target: bool,
    ) -> HttpResponse:
        """Return the response to a request with a path under ``/savorystand/``.

        ``from_target`` is True on the listener of the local target.
        """
        parts = urlsplit(path)
        name = f'{method} {parts.path}'
        query = parse_qs(parts.query)
        endpoint = self._public.get(name)
        if endpoint is not None:
            return endpoint(query)
        endpoint = self._protected.get(name)
        if endpoint is not None and self._authorized(headers):
            return endpoint(query)
        if endpoint is not None:
            return json_response({'error': 'key'}, status=_UNAUTHORIZED)
        return self._serve_target_endpoint(name, query, from_target=from_target)

    def _serve_target_endpoint(
        self,
        name: str,
        query: Query,
        *,
        from_target: bool,
    ) -> HttpResponse:
        local_pool = self._kernel.find('local pool', LocalPool)
        match name:
            case 'POST /savorystand/announce' | 'POST /savorystand/leave' if (
                not from_target
            ):
                return json_response({'error': 'not local'}, status=_FORBIDDEN)
            case 'POST /savorystand/announce':
                return _announce(local_pool, query)
            case 'POST /savorystand/leave':
                local_pool.leave()
                return HttpResponse(status=_NO_CONTENT)
            case _:
                return json_response({'error': name}, status=_NOT_FOUND)

    def _authorized(self, headers: Headers) -> bool:
        received = header(headers, 'authorization').encode()
        expected = f'Bearer {self._admin_key}'.encode()
        return hmac.compare_digest(received, expected)

    def _issue_keys(self, query: Query) -> HttpResponse:
        text = query.get('count', ['1'])[0]
        is_short_number = text.isdecimal() and len(text) <= _MAX_COUNT_DIGITS
        if not is_short_number or not 0 < int(text) <= _MAX_ISSUED_KEYS:
            detail = f'count must be from 1 to {_MAX_ISSUED_KEYS}'
            return json_response({'error': detail}, status=_BAD_REQUEST)
        issuer = self._kernel.find('keys', KeyedRunner).issuer
        keys = [issuer.issue() for _ in range(int(text))]
        return json_response({'keys': keys})

    def _health(self, query: Query) -> HttpResponse:
        return json_response({'status': 'ok'})


def _announce(local_pool: LocalPool, query: Query) -> HttpResponse:
    pool = query.get('pool', [''])[0]
    if not 0 < len(pool.encode()) <= MAX_NAME_BYTES:
        detail = f'pool must have 1 to {MAX_NAME_BYTES} bytes'
        return json_response({'error': detail}, status=_BAD_REQUEST)
    local_pool.announce(pool)
    return HttpResponse(status=_NO_CONTENT)
