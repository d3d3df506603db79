"""Responses as they are written to a connection (RFC 9112)."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.gateway.asgi import HttpResponse

_STATUS_LINE_BY_CODE = {  # noqa: WPS407
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'
    for status in HTTPStatus
}
_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


def encode_response(
    response: HttpResponse, *, close: bool, head_only: bool
) -> bytes:
    """Return a response with its length, so that a cut one is recognised.

    ``close`` tells the client that the connection ends with it; a ``head_only`` one
    answers HEAD and has no body.

    Raises:
        ValueError: a header would end its line and begin another.
    """
    lines = [_status_line(response.status)]
    lines += [f'{name}: {text}' for name, text in response.headers]
    if close:
        lines.append('connection: close')
    without_body = response.status in _STATUSES_WITHOUT_BODY
    if not without_body:
        lines.append(f'content-length: {len(response.body)}')
    head = '\r\n'.join(lines)
    if head.count('\n') != len(lines) - 1:
        raise ValueError('line break in a header of a response')
    encoded = f'{head}\r\n\r\n'.encode('latin-1')
    return encoded if head_only or without_body else encoded + response.body


def _status_line(status: int) -> str:
    return _STATUS_LINE_BY_CODE.get(status) or f'HTTP/1.1 {status} Unknown'
