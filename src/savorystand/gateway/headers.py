"""Names and formats of HTTP headers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorystand.call import CallContext
    from savorystand.call import Headers

IDEMPOTENCY_KEY = 'idempotency-key'
DEADLINE = 'savorystand-deadline'
CONTEXT = 'savorystand-context'
VERDICT = 'savorystand-verdict'
RETRY_AFTER = 'retry-after'
REQUEST_ID = 'savorystand-request-id'
# Number of the caller's attempt at a request, starting at 1.
ATTEMPT = 'savorystand-attempt'

_MAX_CACHED_NAMES = 256
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers of one connection, and headers that the node sets itself.
NOT_FORWARDED = CONNECTION_HEADERS | {
    'host',
    ATTEMPT,
    DEADLINE,
    CONTEXT,
    VERDICT,
}


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def header_name(raw: bytes) -> str:
    """Return the name of a header as text in lower case.

    Callers and targets use few different names, so that a cache saves most of
    the decoding.
    """
    return raw.decode('latin-1').lower()


def header_value(raw: bytes) -> str:
    """Return the value of a header as text, without white space around it.

    The parser leaves white space at the end in place, which is not a part of
    the value (RFC 9110, section 5.5).
    """
    return raw.decode('latin-1').strip(' \t')


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded end to end."""
    return tuple(pair for pair in headers if pair[0] not in NOT_FORWARDED)


def header(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string if missing.

    ``name`` is in lower case.
    """
    return next((text for key, text in headers if key == name), '')


def format_context(context: CallContext, execution_id: str) -> str:
    """Return the value of the context header for an execution at a target."""
    retries = context.retries_left
    rank = int(context.importance)
    return f'{context.request_id};{execution_id};{retries};{rank}'


def parse_execution_id(context_header: str) -> str:
    """Return the execution id in the value of a context header.

    It is empty if the header has no such field.
    """
    parts = context_header.split(';')
    return parts[1] if len(parts) > 1 else ''


def split_values(headers: Headers, wanted: str) -> list[str]:
    """Return the values of a header whose value is a list.

    Equal names may stand in lines of their own or in one, with commas between
    their values (RFC 9110, section 5.3).
    """
    return [
        text.strip()
        for name, line in headers
        if name == wanted
        for text in line.split(',')
    ]
