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

from savorystand.transport.conversion import MAX_BODY_BYTES

if TYPE_CHECKING:
    from savorystand.call import Headers

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

_MAX_HEADERS = 64
_MAX_HEADER_BYTES = 16384


class RequestTooLargeError(Exception):
    """Headers or body of a request exceed a bound."""


class RequestAbortedError(Exception):
    """The client closed the connection before the body was whole."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Reply:
    """One HTTP response."""

    status: int
    headers: Headers = ()
    body: bytes = b''


def json_reply(document: object, *, status: int = 200) -> Reply:
    """Return a response with a JSON document."""
    return Reply(
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
    if len(raw) > _MAX_HEADERS or size > _MAX_HEADER_BYTES:
        raise RequestTooLargeError(f'{len(raw)} headers of {size} bytes')
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1')) for name, text in raw
    )


def request_path(scope: Scope) -> str:
    """Return path and query as the client sent them."""
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string']
    if query:
        return f'{path}?{query.decode("latin-1")}'
    return str(path)


async def request_body(receive: Receive) -> bytes:
    """Return the whole body.

    Raises:
        RequestTooLargeError: it exceeds the bound.
        RequestAbortedError: the client went away before its end.
    """
    message = await receive()
    if message['type'] == 'http.request' and not message.get('more_body'):
        return _bounded(message.get('body', b''))
    parts = [message.get('body', b'')]
    size = len(parts[0])
    while message.get('more_body') or message['type'] == 'http.disconnect':
        if message['type'] == 'http.disconnect':
            raise RequestAbortedError
        message = await receive()
        parts.append(message.get('body', b''))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            raise RequestTooLargeError(f'body of more than {size} bytes')
    return b''.join(parts)


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a response with its length, so that a cut one is recognised."""
    headers = [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in reply.headers
    ]
    length = str(len(reply.body)).encode()
    headers.append((b'content-length', length))
    await send(
        {
            'type': 'http.response.start',
            'status': reply.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': reply.body})


def _bounded(body: bytes) -> bytes:
    if len(body) > MAX_BODY_BYTES:
        raise RequestTooLargeError(f'body of {len(body)} bytes')
    return body
