"""Bounds on the texts of a call, the same for callers and peers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

# Path and query.
MAX_PATH_BYTES = 8192
# An idempotency key: a node remembers 20,000 of them.
MAX_KEY_BYTES = 256
# Method, request id and execution id.
MAX_NAME_BYTES = 128
# What HTTP/1.1 carries neither in values nor as Latin-1 (RFC 9110, 5.5).
_INVALID_IN_VALUE = re.compile('[^\t\x20-\x7e\x80-\xff]')
_INVALID_IN_WORD = re.compile('[^\x21-\x7e\x80-\xff]')


def check_call(start: Message) -> None:
    """Check the frame that opens a call.

    Raises:
        FrameError: a text is longer than entry nodes accept, or it would
            end a line of the request to the target.
    """
    _check_length(start.path, MAX_PATH_BYTES)
    context = start.context
    # One search over all texts of a kind takes a fraction of one for each.
    words = [start.method, start.path, context.request_id]
    words += start.headers[::2]
    if _INVALID_IN_WORD.search(''.join(words)):
        raise FrameError('space or control character in a call')
    if _INVALID_IN_VALUE.search(''.join(start.headers[1::2])):
        raise FrameError('control character in a header of a call')
    _check_length(start.key or '', MAX_KEY_BYTES)
    for text in (start.method, context.request_id, context.execution_id):
        _check_length(text, MAX_NAME_BYTES)


def _check_length(text: str, max_length: int) -> None:
    # Texts hold characters of one byte, as HTTP carries them.
    if len(text) > max_length:
        raise FrameError(f'text of {len(text)} characters in a call')
