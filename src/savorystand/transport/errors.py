"""Errors of connections between nodes."""

from __future__ import annotations

import anyio

from savorystand.wire.errors import FrameError


class ConnectionLostError(Exception):
    """A connection to a peer could not be established or was lost."""


# Errors that the tasks of a connection raise if it is broken, is closed or
# receives malformed frames.
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    # Raised when TLS responds to a key update of the peer while a frame is
    # being sent.
    anyio.BusyResourceError,
    anyio.ClosedResourceError,
    FrameError,
)


def describe_malformed(errors: BaseExceptionGroup[Exception]) -> str:
    """Return what could not be decoded, empty if the errors are others."""
    malformed: BaseException | None = errors.subgroup(FrameError)
    while isinstance(malformed, BaseExceptionGroup):
        malformed = malformed.exceptions[0]
    return str(malformed or '')
