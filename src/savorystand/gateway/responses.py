"""Encoding of HTTP/1.1 responses (RFC 9112)."""

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
    """Return an encoded response.

    It has a content length, so that the client detects a truncated body, unless
    its status allows no body. With ``close`` it announces that the node closes
    the connection. With ``head_only`` it is the response to a HEAD request and
    has no body.

    Raises:
        ValueError: a header contains a line break.
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
        raise ValueError('a header of the response contains a line break')
    encoded = f'{head}\r\n\r\n'.encode('latin-1')
    return encoded if head_only or without_body else encoded + response.body


def _status_line(status: int) -> str:
    return _STATUS_LINE_BY_CODE.get(status) or f'HTTP/1.1 {status} Unknown'
