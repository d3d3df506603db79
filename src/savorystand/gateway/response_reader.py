"""Reads one HTTP/1.1 response of the target."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from httptools import HttpParserError
from httptools import HttpResponseParser

from savorystand.call import Response
from savorystand.call import is_final_status
from savorystand.gateway.errors import TargetProtocolError
from savorystand.gateway.headers import header_name
from savorystand.gateway.headers import header_value
from savorystand.memory.account import HEADER_OBJECT_BYTES
from savorystand.memory.buffer import HeldBuffer
from savorystand.memory.errors import MemoryShortError
from savorystand.memory.held_count import HeldCount
from savorystand.transport.conversion import MAX_BODY_BYTES

if TYPE_CHECKING:
    from savorystand.call import Headers
    from savorystand.memory.account import MemoryAccount
    from savorystand.memory.holder import Holder

# Function that returns True if headers are those of the response to the request
# in progress.
ResponseMatcher: TypeAlias = Callable[['Headers'], bool]
# Function that gets the status and headers of each final response.
HeadObserver: TypeAlias = Callable[[int, 'Headers'], None]

_MAX_HEADER_BYTES = 65536
# Smaller heads are not counted as memory.
_MIN_COUNTED_BYTES = 4096
# The parser joins the parts of an incomplete header.
_HEAD_COPIES = 2
_MIN_INTERIM_STATUS = 100
_MIN_FINAL_STATUS = 200
# No request asks to switch protocols, after which no response would follow.
_SWITCHING_PROTOCOLS = 101
# Interim responses and late ones to earlier requests that may come before the
# response to the current one.
_MAX_OTHER_RESPONSES = 16


class ResponseReader:
    """Collects one response from the callbacks of the parser.

    Each of its parts has a bound: a faulty target may send any of them without
    end.
    """

    __slots__ = (
        '_account',
        '_head',
        '_header_bytes',
        '_holder',
        '_matcher',
        '_on_head',
        '_other_responses',
        '_parser',
        '_unparsed_bytes',
        'body',
        'complete',
        'headers',
        'headers_complete',
        'keep_alive',
        'must_close',
        'status',
    )

    def __init__(
        self,
        *,
        matcher: ResponseMatcher | None,
        on_head: HeadObserver | None,
        account: MemoryAccount,
        holder: Holder,
    ) -> None:
        """Read a response; see ``HttpConnection.exchange``.

        ``holder`` holds what counts towards ``account``.
        """
        self._matcher = matcher
        self._on_head = on_head
        self._account = account
        self._holder = holder
        self._head = HeldCount(account=account)
        # Size of complete headers.
        self._header_bytes = 0
        self._parser = HttpResponseParser(self)
        self._other_responses = 0
        # Bytes received since the parser completed the headers or passed on a
        # part of the body.
        self._unparsed_bytes = 0
        self.headers_complete = False
        # The connection cannot be reused: it has ended, or malformed bytes or
        # another response arrived on it.
        self.must_close = False
        self.headers: list[tuple[str, str]] = []
        # In one piece: a chunked body may have parts of one byte, each of which
        # would take the memory of an object.
        self.body = HeldBuffer(account=account)
        self.status = 0
        self.complete = False
        self.keep_alive = False

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raises:
            TargetProtocolError: they are malformed or exceed a bound.
        """
        self._unparsed_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except HttpParserError as exc:
            self.must_close = True
            if not self.complete or self._matcher is None:
                raise TargetProtocolError(str(exc)) from exc
        # Trailers and chunk extensions are subject to the same bound.
        if self._unparsed_bytes > _MAX_HEADER_BYTES and not self.complete:
            raise TargetProtocolError(
                f'headers or trailers of the response exceed '
                f'{_MAX_HEADER_BYTES} bytes'
            )
        self._count_head()

    @property
    def held_bytes(self) -> int:
        """Return what is held of the response so far."""
        return self._head.size + len(self.body)

    def on_message_begin(self) -> None:
        """Check that no further response follows the expected one."""
        if not self.complete:
            return
        self.must_close = True
        if self._matcher is None:
            raise TargetProtocolError(
                'received a second response after the expected one'
            )

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        if self.complete:
            return
        self.headers.append((header_name(name), header_value(text)))
        self._header_bytes += len(name) + len(text) + HEADER_OBJECT_BYTES

    def on_headers_complete(self) -> None:
        """Report the headers of a final response."""
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        self.headers_complete = True
        self._unparsed_bytes = 0
        if not _is_valid_status(self.status):
            raise TargetProtocolError(f'invalid status {self.status}')
        if self._on_head is not None and self.status >= _MIN_FINAL_STATUS:
            self._on_head(self.status, tuple(self.headers))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self.complete:
            return
        self._unparsed_bytes = 0
        if len(self.body) + len(body) > MAX_BODY_BYTES:
            raise TargetProtocolError(
                f'body of the response exceeds {MAX_BODY_BYTES} bytes'
            )
        try:
            self.body.add(body, self._holder)
        except MemoryShortError as exc:
            raise _no_memory(exc) from exc

    def on_message_complete(self) -> None:
        """Finish, unless the response is an interim or a late one."""
        if self.complete:
            return
        if self.status < _MIN_FINAL_STATUS:
            # Interim responses (RFC 9110, section 15.2) precede the final one.
            self._skip()
            return
        if not self._matches_request():
            # A late response to an earlier request. The response to the
            # current one may follow.
            self.must_close = True
            self._skip()
            return
        # The parser resets its value after this callback.
        self.keep_alive = bool(self._parser.should_keep_alive())
        self.complete = True

    def receive_eof(self) -> bool:
        """Process the end of the stream; return True if it ends the response.

        It ends the body of a response that has neither a content length nor a
        transfer encoding (RFC 9112, section 6.3).
        """
        if self.complete or not self.headers_complete:
            return False
        names = {name for name, _ in self.headers}
        framing_headers = names & {'content-length', 'transfer-encoding'}
        if framing_headers or not self._matches_request():
            return False
        self.must_close = True
        self.complete = True
        return True

    def response(self) -> Response:
        """Return the response, which is complete."""
        return Response(
            status=self.status,
            headers=tuple(self.headers),
            body=self.body,
        )

    def close(self) -> None:
        """Let go of all that has been read.

        The parser refers to this reader, so that both would stay in memory
        until a cyclic collection.
        """
        del self._parser
        self._head.resize(0)
        self.headers.clear()
        del self.body

    def _count_head(self) -> None:
        size = _HEAD_COPIES * self._unparsed_bytes + self._header_bytes
        if size <= _MIN_COUNTED_BYTES:
            size = 0
        if size == self._head.size:
            return
        try:
            self._head.resize(size, self._holder)
        except MemoryShortError as exc:
            raise _no_memory(exc) from exc

    def _matches_request(self) -> bool:
        return self._matcher is None or self._matcher(tuple(self.headers))

    def _skip(self) -> None:
        self._other_responses += 1
        if self._other_responses > _MAX_OTHER_RESPONSES:
            raise TargetProtocolError(
                f'more than {_MAX_OTHER_RESPONSES} responses before that to '
                'the request'
            )
        self.headers.clear()
        self.body = HeldBuffer(account=self._account)
        self._header_bytes = 0
        self.headers_complete = False


def _is_valid_status(status: int) -> bool:
    is_interim = _MIN_INTERIM_STATUS <= status < _MIN_FINAL_STATUS
    if is_interim:
        return status != _SWITCHING_PROTOCOLS
    return is_final_status(status)


def _no_memory(exc: MemoryShortError) -> TargetProtocolError:
    return TargetProtocolError(
        f'the node has no memory for the response: {exc}'
    )
