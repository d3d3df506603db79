"""ASGI types, bounded reading of requests and sending of responses."""

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

from savorystand.clock import Clock
from savorystand.memory.account import MemoryAccount
from savorystand.memory.buffer import HeldBuffer
from savorystand.memory.errors import MemoryShortError
from savorystand.transport.bounds import MAX_KEY_BYTES

if TYPE_CHECKING:
    from savorystand.call import Body
    from savorystand.call import Headers

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

MAX_HEADERS = 64
# Path including the query.
MAX_PATH_BYTES = 8192
_IDEMPOTENCY_KEY = b'idempotency-key'
MAX_HEADER_BYTES = 16384
# Longest body of a request.
MAX_BODY_BYTES = 16777216


class RequestTooLargeError(Exception):
    """The path, headers, key or body of a request exceed a bound."""


class RequestAbortedError(Exception):
    """The client closed the connection before the body was complete."""


# A request whose body cannot be read gets no response of the application.
UNREAD_ERRORS = (RequestAbortedError, RequestTooLargeError, MemoryShortError)


@final
@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """An HTTP response to a caller, the local target or an operator."""

    status: int
    headers: Headers = ()
    body: Body = b''


def json_response(document: object, *, status: int = 200) -> HttpResponse:
    """Return a response with ``document`` encoded as JSON."""
    return HttpResponse(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=json.dumps(document).encode(),
    )


def request_headers(scope: Scope) -> Headers:
    """Return the headers of a request, with names in lower case.

    Raises:
        RequestTooLargeError: number or size of the headers, or length of the
            idempotency key, exceeds its bound.
    """
    raw: Sequence[tuple[bytes, bytes]] = scope['headers']
    size = sum(len(name) + len(text) for name, text in raw)
    if len(raw) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise RequestTooLargeError(
            f'{len(raw)} headers of {size} bytes, expected at most '
            f'{MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes'
        )
    longest_key = max(
        (len(text) for name, text in raw if name == _IDEMPOTENCY_KEY), default=0
    )
    if longest_key > MAX_KEY_BYTES:
        raise RequestTooLargeError(
            f'idempotency key of {longest_key} bytes, expected at most '
            f'{MAX_KEY_BYTES}'
        )
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1')) for name, text in raw
    )


def request_path(scope: Scope) -> str:
    """Return path and query in the encoding of the client.

    Raises:
        RequestTooLargeError: they exceed ``MAX_PATH_BYTES`` together.
    """
    path = scope['raw_path'].decode('latin-1')
    query = scope['query_string']
    size = len(path) + len(query)
    if size > MAX_PATH_BYTES:
        raise RequestTooLargeError(
            f'path and query of {size} bytes, expected at most {MAX_PATH_BYTES}'
        )
    if query:
        return f'{path}?{query.decode("latin-1")}'
    return str(path)


class BodyReader:
    """Reads request bodies into the memory account.

    All requests of a listener share one reader.
    """

    __slots__ = ('_account',)

    def __init__(self, *, account: MemoryAccount | None = None) -> None:
        """Count bodies towards ``account``."""
        self._account = account or MemoryAccount(clock=Clock())

    async def read(self, receive: Receive) -> Body:
        """Return the complete body of a request.

        Raises:
            RequestTooLargeError: it exceeds ``MAX_BODY_BYTES``.
            MemoryShortError: there is no room for it.
            RequestAbortedError: the client disconnected before its end.
        """
        message = await receive()
        if message['type'] == 'http.request' and not message.get('body'):
            if not message.get('more_body'):
                return b''
        # In one piece: the parts of a chunked body may have one byte each.
        body = HeldBuffer(account=self._account)
        await self._receive_parts(message, receive, body)
        return body

    async def _receive_parts(
        self,
        message: dict[str, Any],
        receive: Receive,
        body: HeldBuffer,
    ) -> None:
        while True:
            if message['type'] == 'http.disconnect':
                raise RequestAbortedError
            part = message.get('body', b'')
            size = len(body) + len(part)
            if size > MAX_BODY_BYTES:
                raise RequestTooLargeError(
                    f'body of at least {size} bytes, expected at most '
                    f'{MAX_BODY_BYTES}'
                )
            body.add(part)
            if not message.get('more_body'):
                return
            message = await receive()


async def request_body(
    receive: Receive, account: MemoryAccount | None = None
) -> bytes:
    """Return the complete body of a request.

    Each call has its own reader, so that only ``account`` bounds the memory of
    unfinished bodies across requests.

    Raises:
        RequestTooLargeError: it exceeds ``MAX_BODY_BYTES``.
        MemoryShortError: there is no room for it.
        RequestAbortedError: the client disconnected before its end.
    """
    return bytes(await BodyReader(account=account).read(receive))


async def send_response(send: Send, response: HttpResponse) -> None:
    """Send a response.

    It has a content length, so that the client detects a truncated body.
    """
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
