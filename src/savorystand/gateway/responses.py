"""Responses as they are written to a connection (RFC 9112)."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.gateway.asgi import HttpResponse

_STATUS_LINES = {  # noqa: WPS407
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'
    for status in HTTPStatus
}
_NO_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


def encode_response(response: HttpResponse, *, ends: bool, bare: bool) -> bytes:
    """Return a response with its length, so that a cut one is recognised.

    ``ends`` tells the client that the connection ends with it; a ``bare`` one
    answers HEAD and has no body.

    Raises:
        ValueError: a header would end its line and begin another.
    """
    lines = [_status_line(response.status)]
    lines += [f'{name}: {text}' for name, text in response.headers]
    if ends:
        lines.append('connection: close')
    without_body = response.status in _NO_BODY
    if not without_body:
        lines.append(f'content-length: {len(response.body)}')
    head = '\r\n'.join(lines)
    if head.count('\n') != len(lines) - 1:
        raise ValueError('line break in a header of a response')
    encoded = f'{head}\r\n\r\n'.encode('latin-1')
    return encoded if bare or without_body else encoded + response.body


def _status_line(status: int) -> str:
    return _STATUS_LINES.get(status) or f'HTTP/1.1 {status} Unknown'
