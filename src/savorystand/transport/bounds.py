"""Bounds on the texts of a call, which apply to callers and peers alike."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

# Path including the query.
MAX_PATH_BYTES = 8192
# Idempotency key, of which a node keeps up to 20,000 in memory.
MAX_KEY_BYTES = 256
# Method, request id or execution id.
MAX_NAME_BYTES = 128
# Characters that an HTTP/1.1 field value cannot carry: control characters other
# than tab, and all outside Latin-1 (RFC 9110, section 5.5).
_INVALID_IN_VALUE = re.compile('[^\t\x20-\x7e\x80-\xff]')
# The same for texts without white space.
_INVALID_IN_WORD = re.compile('[^\x21-\x7e\x80-\xff]')


def check_call(start: Message) -> None:
    """Check the texts of the frame that opens a call.

    Raises:
        FrameError: a text is longer than the gateway accepts from callers, or
            holds a character that could end a line of the HTTP request to the
            target.
    """
    _check_length(start.path, MAX_PATH_BYTES)
    context = start.context
    # One search of the joined texts takes a fraction of the time that a search
    # of each text takes.
    words = [start.method, start.path, context.request_id]
    words += start.headers[::2]
    if _INVALID_IN_WORD.search(''.join(words)):
        raise FrameError('space or control character in method, path or name')
    if _INVALID_IN_VALUE.search(''.join(start.headers[1::2])):
        raise FrameError('control character in the value of a header')
    _check_length(start.key or '', MAX_KEY_BYTES)
    for text in (start.method, context.request_id, context.execution_id):
        _check_length(text, MAX_NAME_BYTES)


def _check_length(text: str, max_length: int) -> None:
    # HTTP texts are Latin-1, so that one character is one byte.
    if len(text) > max_length:
        raise FrameError(
            f'text of {len(text)} characters in a call exceeds {max_length}'
        )
