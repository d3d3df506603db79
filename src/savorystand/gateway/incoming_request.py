"""A request of a caller that has not arrived completely."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.gateway.asgi import MAX_PATH_BYTES
from savorystand.gateway.contexts import Request
from savorystand.gateway.headers import header_name
from savorystand.gateway.headers import header_value
from savorystand.memory.account import HEADER_OBJECT_BYTES
from savorystand.memory.buffer import HeldBuffer
from savorystand.transport.bounds import MAX_HEAD_BYTES
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Body
    from savorystand.memory.account import MemoryAccount
    from savorystand.memory.holder import Holder
    from savorystand.tables.limits import CallerLimits

# Tasks, timers and other objects of a request in progress.
_REQUEST_BYTES = 16384
# Smaller heads are not counted as memory until their request is complete.
_MIN_COUNTED_BYTES = 4096
# A header with a name and a value of one byte each takes six with its separator
# and line end.
_HEADER_OVERHEAD = 3
# Method, version and line ends.
_REQUEST_LINE_BYTES = 64


class IncomingRequest:
    """Collects the parts of a request and checks them against the limits."""

    __slots__ = (
        '_body',
        '_header_bytes',
        '_headers',
        '_path',
        '_received_ms',
    )

    def __init__(self) -> None:
        """Start without any part."""
        self._path = b''
        self._headers: list[tuple[str, str]] = []
        # Size of all names and values, also of headers that are not kept.
        self._header_bytes = 0
        self._body: Body = b''
        self._received_ms = float(0)

    @property
    def body_bytes(self) -> int:
        """Return the size of the body so far."""
        return len(self._body)

    @property
    def head_bytes(self) -> int:
        """Return what counts for a head while its request arrives."""
        size = self._head_size()
        return size if size > _MIN_COUNTED_BYTES else 0

    @property
    def counted_bytes(self) -> int:
        """Return what counts for a request in progress besides its body."""
        return self._head_size() + _REQUEST_BYTES

    def add_url(self, url: bytes) -> None:
        """Append a part of the path and query."""
        self._path += url

    def add_header(
        self, name: bytes, text: bytes, limits: CallerLimits
    ) -> None:
        """Append a header, or only count it beyond the limit on headers."""
        self._header_bytes += len(name) + len(text)
        if self._header_bytes <= _max_header_bytes(limits):
            self._headers.append((header_name(name), header_value(text)))

    def complete_head(
        self, limits: CallerLimits, received_ms: float
    ) -> NotRun | None:
        """Return a refusal if the head exceeds a limit or announces to."""
        self._received_ms = received_ms
        max_path_bytes = _max_path_bytes(limits)
        if len(self._path) > max_path_bytes:
            return too_large(
                f'path of {len(self._path)} bytes, expected at most '
                f'{max_path_bytes}'
            )
        max_header_bytes = _max_header_bytes(limits)
        if self._header_bytes > max_header_bytes:
            return too_large(
                f'headers of {self._header_bytes} bytes, expected at most '
                f'{max_header_bytes}'
            )
        return _check_body_size(self._announced_bytes(), limits)

    def expects_continue(self) -> bool:
        """Return True if the client waits for an interim response."""
        return self._first_value('expect').lower() == '100-continue'

    def add_body(
        self,
        part: bytes,
        limits: CallerLimits,
        account: MemoryAccount,
        asker: Holder,
    ) -> NotRun | None:
        """Append a part of the body, or return why it is refused.

        Raises:
            MemoryShortError: ``account`` has no room for it.
        """
        refusal = _check_body_size(len(self._body) + len(part), limits)
        if refusal is not None:
            return refusal
        if not isinstance(self._body, HeldBuffer):
            self._body = HeldBuffer(account=account)
        self._body.add(part, asker)
        return None

    def build(self, method: bytes) -> Request:
        """Return the request, which is complete."""
        return Request(
            method=method.decode('latin-1'),
            path=self._path.decode('latin-1'),
            headers=tuple(self._headers),
            body=self._body,
            received_ms=self._received_ms,
        )

    def _head_size(self) -> int:
        text_bytes = len(self._path) + self._header_bytes
        return text_bytes + len(self._headers) * HEADER_OBJECT_BYTES

    def _announced_bytes(self) -> int:
        # The parser has checked that it is a number.
        return int(self._first_value('content-length') or 0)

    def _first_value(self, header: str) -> str:
        for name, text in self._headers:
            if name == header:
                return text
        return ''


def _check_body_size(size: int, limits: CallerLimits) -> NotRun | None:
    if size <= limits.body_bytes:
        return None
    return too_large(
        f'body of at least {size} bytes, expected at most {limits.body_bytes}'
    )


def max_head_bytes(limits: CallerLimits) -> int:
    """Return the size up to which an incomplete head is read.

    It exceeds the limits that are checked once the head is complete, so that
    separators and line ends do not count towards them.
    """
    return (
        _HEADER_OVERHEAD * _max_header_bytes(limits)
        + _max_path_bytes(limits)
        + _REQUEST_LINE_BYTES
    )


def too_large(detail: str) -> NotRun:
    """Return the refusal of a request that exceeds a limit."""
    return NotRun(reason=Reason.TOO_LARGE, detail=detail)


def _max_header_bytes(limits: CallerLimits) -> int:
    return min(limits.header_bytes, MAX_HEAD_BYTES)


def _max_path_bytes(limits: CallerLimits) -> int:
    return max(MAX_PATH_BYTES, _max_header_bytes(limits))
