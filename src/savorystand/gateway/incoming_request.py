"""A request of a caller that has not arrived completely."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.gateway.asgi import MAX_HEADERS
from savorystand.gateway.asgi import MAX_PATH_BYTES
from savorystand.gateway.contexts import Request
from savorystand.gateway.headers import header_name
from savorystand.memory.buffer import HeldBuffer
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Body
    from savorystand.memory.account import MemoryAccount
    from savorystand.memory.holder import Holder
    from savorystand.tables.limits import CallerLimits

# Tasks, timers and other objects of a request in progress.
_REQUEST_BYTES = 16384


class IncomingRequest:
    """Collects the parts of a request and checks them against the limits."""

    __slots__ = ('_body', '_headers', '_path', '_received_ms')

    def __init__(self) -> None:
        """Start without any part."""
        self._path = b''
        self._headers: list[tuple[str, str]] = []
        self._body: Body = b''
        self._received_ms = float(0)

    @property
    def body_bytes(self) -> int:
        """Return the size of the body so far."""
        return len(self._body)

    @property
    def counted_bytes(self) -> int:
        """Return what counts for a request in progress besides its body."""
        return self._header_bytes() + len(self._path) + _REQUEST_BYTES

    def add_url(self, url: bytes) -> None:
        """Append a part of the path and query."""
        self._path += url

    def add_header(self, name: bytes, text: bytes) -> None:
        """Append a header.

        One more than ``MAX_HEADERS`` is stored, so that the excess is detected.
        """
        if len(self._headers) <= MAX_HEADERS:
            self._headers.append((header_name(name), text.decode('latin-1')))

    def complete_head(
        self, limits: CallerLimits, received_ms: float
    ) -> NotRun | None:
        """Return a refusal if the head exceeds a limit or announces to."""
        self._received_ms = received_ms
        header_bytes = self._header_bytes()
        if len(self._path) > MAX_PATH_BYTES:
            return too_large(
                f'path of {len(self._path)} bytes, expected at most '
                f'{MAX_PATH_BYTES}'
            )
        if (
            header_bytes > limits.header_bytes
            or len(self._headers) > MAX_HEADERS
        ):
            return too_large(
                f'at least {len(self._headers)} headers of {header_bytes} '
                f'bytes, expected at most {MAX_HEADERS} headers of '
                f'{limits.header_bytes} bytes'
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

    def _header_bytes(self) -> int:
        return sum([len(name) + len(text) for name, text in self._headers])

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

    It exceeds the limits that are checked once the head is complete by more
    than the line ends and separators.
    """
    return 2 * limits.header_bytes + MAX_PATH_BYTES


def too_large(detail: str) -> NotRun:
    """Return the refusal of a request that exceeds a limit."""
    return NotRun(reason=Reason.TOO_LARGE, detail=detail)
