"""Bounds on the texts of a call, the same for callers and peers."""

from __future__ import annotations

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


def check_call(start: Message) -> None:
    """Check the frame that opens a call.

    Raises:
        FrameError: a text is longer than entry nodes accept.
    """
    _check(start.path, MAX_PATH_BYTES)
    _check(start.key or '', MAX_KEY_BYTES)
    for text in (
        start.method,
        start.context.request_id,
        start.context.execution_id,
    ):
        _check(text, MAX_NAME_BYTES)


def _check(text: str, bound: int) -> None:
    # Texts hold characters of one byte, as HTTP carries them.
    if len(text) > bound:
        raise FrameError(f'text of {len(text)} characters in a call')
