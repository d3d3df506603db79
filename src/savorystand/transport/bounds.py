"""Bounds on the texts of a call between nodes.

An entry accepts no more from its callers than these bounds and a frame can
carry, so that only a faulty peer exceeds them.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from savorystand.wire.errors import CallError

if TYPE_CHECKING:
    from savorystand.wire.codec import Message

# Longest path, including the query, and longest headers of a request. Higher
# limits of the operators count as this one.
MAX_HEAD_BYTES = 131072
# Idempotency key, of which a node keeps up to 20,000 in memory.
MAX_KEY_BYTES = 256
# Method or execution id.
MAX_NAME_BYTES = 128
# Characters that an HTTP/1.1 field value cannot carry: control characters other
# than tab, and all outside Latin-1 (RFC 9110, section 5.5).
_INVALID_IN_VALUE = re.compile('[^\t\x20-\x7e\x80-\xff]')
# The same for texts without white space.
_INVALID_IN_WORD = re.compile('[^\x21-\x7e\x80-\xff]')


def check_call(start: Message) -> None:
    """Check the texts of the frame that opens a call.

    Raises:
        CallError: a text is longer than an entry accepts from callers, or
            holds a character that could end a line of the HTTP request to the
            target.
    """
    context = start.context
    # One search of the joined texts takes a fraction of the time that a search
    # of each text takes.
    words = [start.method, start.path, *start.headers[::2]]
    if _INVALID_IN_WORD.search(''.join(words)):
        raise CallError('space or control character in method, path or name')
    # A caller may choose any header value as the id of its request.
    texts = [context.request_id, *start.headers[1::2]]
    if _INVALID_IN_VALUE.search(''.join(texts)):
        raise CallError('control character in an id or the value of a header')
    _check_length(start.key or '', MAX_KEY_BYTES)
    for name in (start.method, context.execution_id):
        _check_length(name, MAX_NAME_BYTES)
    for text in (start.path, context.request_id):
        _check_length(text, MAX_HEAD_BYTES)


def _check_length(text: str, max_length: int) -> None:
    # HTTP texts are Latin-1, so that one character is one byte.
    if len(text) > max_length:
        raise CallError(
            f'text of {len(text)} characters in a call exceeds {max_length}'
        )
