"""Encoding of HTTP/1.1 responses (RFC 9112)."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import final

from savorystand.memory.buffer import HeldBuffer

if TYPE_CHECKING:
    from savorystand.call import Body
    from savorystand.gateway.asgi import HttpResponse

_STATUS_LINE_BY_CODE = {  # noqa: WPS407
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'
    for status in HTTPStatus
}
_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


@final
@dataclass(slots=True, kw_only=True)
class EncodedResponse:
    """The bytes of a response.

    ``uncounted_bytes`` is the size of the parts that no memory account counts.
    """

    parts: tuple[Body, ...]
    uncounted_bytes: int


def encode_response(
    response: HttpResponse, *, close: bool, head_only: bool
) -> EncodedResponse:
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
    if head_only or without_body or not response.body:
        return EncodedResponse(parts=(encoded,), uncounted_bytes=len(encoded))
    uncounted_bytes = len(encoded)
    if not isinstance(response.body, HeldBuffer):
        uncounted_bytes += len(response.body)
    return EncodedResponse(
        parts=(encoded, response.body), uncounted_bytes=uncounted_bytes
    )


def _status_line(status: int) -> str:
    return _STATUS_LINE_BY_CODE.get(status) or f'HTTP/1.1 {status} Unknown'
