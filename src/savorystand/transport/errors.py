"""Errors of connections between nodes."""

from __future__ import annotations

import anyio

from savorystand.wire.errors import FrameError


class ConnectionLostError(Exception):
    """The connection was closed, was reset or went silent."""


# Errors that a broken or closed connection, or one with malformed frames, raises
# in its tasks.
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    # Raised when TLS responds to a key update of the peer while a frame is
    # being sent.
    anyio.BusyResourceError,
    anyio.ClosedResourceError,
    FrameError,
)
