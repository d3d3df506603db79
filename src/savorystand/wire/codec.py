"""Encoding of the frames of the peer protocol and of membership datagrams.

A frame is a 4-byte big-endian length followed by a struct in the thrift compact
encoding. A datagram is such a struct without the length.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from thrift.protocol import fastbinary
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire.ttypes import Frame

if TYPE_CHECKING:
    from collections.abc import Iterator

# A struct of the generated module, which has no type hints.
Message: TypeAlias = Any

# Holds the longest head of a call or response and a chunk of its body. A text
# takes up to twice the bytes that it had in HTTP.
MAX_FRAME_BYTES = 1048576
_LENGTH_PREFIX = struct.Struct('!I')
_DECODE_ERRORS = (
    EOFError,
    MemoryError,
    OverflowError,
    TException,
    TypeError,
    ValueError,
)


# Creating a protocol object takes as long as decoding a short frame. Decoding
# never yields to the event loop, so that all of it can share one object.
_protocol = TCompactProtocolAccelerated(
    TMemoryBuffer(),
    # The decoder allocates memory for the length that a string or list claims
    # to have.
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
)


def encode_struct(message: Message) -> bytes:
    """Return the thrift compact encoding of a generated struct."""
    encoded: bytes = fastbinary.encode_compact(
        message,
        [message.__class__, message.thrift_spec],
    )
    return encoded


def decode_struct(message: Message, encoded: bytes) -> Message:
    """Fill a generated struct from its thrift compact encoding.

    Raises:
        FrameError: the bytes are not a complete struct of that type.
    """
    _protocol.trans = TMemoryBuffer(encoded)
    try:
        fastbinary.decode_compact(
            message, _protocol, [message.__class__, message.thrift_spec]
        )
        message.validate()
    except _DECODE_ERRORS as exc:
        raise FrameError(f'malformed {type(message).__name__}: {exc}') from exc
    return message


def require_fields(message: Message) -> None:
    """Check that a nested struct has all of its required fields.

    ``decode_struct`` checks only those of the outermost struct.

    Raises:
        FrameError: a required field is missing.
    """
    try:
        message.validate()
    except TException as exc:
        raise FrameError(f'incomplete {type(message).__name__}: {exc}') from exc


def _check_nested(frame: Message) -> None:
    # The services that answer control frames check their nested structs.
    if frame.call is not None:
        require_fields(frame.call)
        require_fields(frame.call.context)
    if frame.answer is not None:
        require_fields(frame.answer)
        require_fields(frame.answer.load)
    if frame.refused is not None:
        require_fields(frame.refused)
        if frame.refused.load is not None:
            require_fields(frame.refused.load)
    if frame.load_push is not None:
        require_fields(frame.load_push)
        require_fields(frame.load_push.load)
    for nested in (frame.chunk, frame.cancel, frame.ping):
        if nested is not None:
            require_fields(nested)


def encode_frame(frame: Message) -> bytes:
    """Return the encoded frame, including its length prefix.

    Raises:
        FrameError: the frame is longer than ``MAX_FRAME_BYTES``.
    """
    body = encode_struct(frame)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(
            f'frame of {len(body)} bytes exceeds {MAX_FRAME_BYTES}'
        )
    return _LENGTH_PREFIX.pack(len(body)) + body


class FrameBuffer:
    """Splits a byte stream into frames.

    ``frame_bytes`` is the length of the last frame, with its prefix.
    """

    __slots__ = ('_pending', 'frame_bytes')

    def __init__(self) -> None:
        """Create an empty buffer; the next byte starts a frame."""
        self._pending = bytearray()
        self.frame_bytes = 0

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Append received bytes and yield each complete frame.

        Raises:
            FrameError: a frame is too long or malformed; the rest of the
                stream cannot be decoded.
        """
        self._pending += chunk
        while len(self._pending) >= _LENGTH_PREFIX.size:
            size = _LENGTH_PREFIX.unpack_from(self._pending)[0]
            if size > MAX_FRAME_BYTES:
                raise FrameError(
                    f'frame of {size} bytes exceeds {MAX_FRAME_BYTES}'
                )
            end = _LENGTH_PREFIX.size + size
            if len(self._pending) < end:
                return
            body = bytes(self._pending[_LENGTH_PREFIX.size : end])
            del self._pending[:end]
            self.frame_bytes = end
            frame = decode_struct(Frame(), body)
            _check_nested(frame)
            yield frame
