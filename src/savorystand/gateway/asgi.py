"""The parts of ASGI that the gateway uses."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import final

from savorystand.transport.bounds import MAX_KEY_BYTES
from savorystand.transport.bounds import MAX_PATH_BYTES
from savorystand.transport.conversion import MAX_BODY_BYTES

if TYPE_CHECKING:
    from savorystand.call import Headers

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

MAX_HEADERS = 64
_IDEMPOTENCY_KEY = b'idempotency-key'
MAX_HEADER_BYTES = 16384
# Bound on the unfinished bodies of one listener; beyond it new requests with
# long bodies are refused, and those in progress go on.
MAX_UNFINISHED_BYTES = 536870912


class RequestTooLargeError(Exception):
    """Headers or body of a request exceed a bound."""


class TooManyBodiesError(Exception):
    """The bodies that are arriving take too much memory already."""


class RequestAbortedError(Exception):
    """The client closed the connection before the body was whole."""


@final
@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """One HTTP response."""

    status: int
    headers: Headers = ()
    body: bytes = b''


def json_response(document: object, *, status: int = 200) -> HttpResponse:
    """Return a response with a JSON document."""
    return HttpResponse(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=json.dumps(document).encode(),
    )


def request_headers(scope: Scope) -> Headers:
    """Return the request's headers in lower case.

    Raises:
        RequestTooLargeError: they exceed the bounds.
    """
    raw: Sequence[tuple[bytes, bytes]] = scope['headers']
    size = sum(len(name) + len(text) for name, text in raw)
    if len(raw) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise RequestTooLargeError(f'{len(raw)} headers of {size} bytes')
    longest_key = max(
        (len(text) for name, text in raw if name == _IDEMPOTENCY_KEY), default=0
    )
    if longest_key > MAX_KEY_BYTES:
        raise RequestTooLargeError(f'key of {longest_key} bytes')
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1')) for name, text in raw
    )


def request_path(scope: Scope) -> str:
    """Return path and query as the client sent them.

    Raises:
        RequestTooLargeError: they exceed the bound.
    """
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string']
    size = len(path) + len(query)
    if size > MAX_PATH_BYTES:
        raise RequestTooLargeError(f'path of {size} bytes')
    if query:
        return f'{path}?{query.decode("latin-1")}'
    return str(path)


class BodyReader:
    """Receives the bodies of one listener's requests."""

    __slots__ = ('_unfinished_bytes',)

    def __init__(self) -> None:
        """Start without a body."""
        # Bytes of the bodies that have arrived in part.
        self._unfinished_bytes = 0

    async def read(self, receive: Receive) -> bytes:
        """Return the whole body.

        Raises:
            RequestTooLargeError: it exceeds the bound.
            TooManyBodiesError: the other bodies leave no room for it.
            RequestAbortedError: the client went away before its end.
        """
        message = await receive()
        if message['type'] == 'http.request' and not message.get('more_body'):
            return _check_body_size(message.get('body', b''))
        if self._unfinished_bytes > MAX_UNFINISHED_BYTES:
            raise TooManyBodiesError
        parts: list[bytes] = []
        try:
            await self._receive_parts(message, receive, parts)
        finally:
            self._unfinished_bytes -= sum(map(len, parts))
        return b''.join(parts)

    async def _receive_parts(
        self,
        message: dict[str, Any],
        receive: Receive,
        parts: list[bytes],
    ) -> None:
        size = 0
        while True:
            if message['type'] == 'http.disconnect':
                raise RequestAbortedError
            part = message.get('body', b'')
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise RequestTooLargeError(f'body of more than {size} bytes')
            parts.append(part)
            self._unfinished_bytes += len(part)
            if not message.get('more_body'):
                return
            message = await receive()


async def request_body(receive: Receive) -> bytes:
    """Return the whole body of a request to a listener without a reader.

    Raises:
        RequestTooLargeError: it exceeds the bound.
        RequestAbortedError: the client went away before its end.
    """
    return await BodyReader().read(receive)


async def send_response(send: Send, response: HttpResponse) -> None:
    """Send a response with its length, so that a cut one is recognised."""
    headers = [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in response.headers
    ]
    length = str(len(response.body)).encode()
    headers.append((b'content-length', length))
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': response.body})


def _check_body_size(body: bytes) -> bytes:
    if len(body) > MAX_BODY_BYTES:
        raise RequestTooLargeError(f'body of {len(body)} bytes')
    return body
