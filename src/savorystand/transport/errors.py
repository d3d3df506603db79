"""Errors of connections between nodes."""

from __future__ import annotations

import anyio

from savorystand.wire.errors import FrameError


class ConnectionLostError(Exception):
    """The connection was closed, was reset or went silent."""


# What a broken, closed or misused connection raises in its tasks.
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    # TLS answers a key update of the peer while a frame is being sent.
    anyio.BusyResourceError,
    anyio.ClosedResourceError,
    FrameError,
)
