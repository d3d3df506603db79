"""Errors of decoding and encoding messages."""

from __future__ import annotations


class FrameError(Exception):
    """A frame or datagram is malformed or exceeds a limit.

    A connection is closed on it: the bytes that follow cannot be decoded.
    """


class CallError(Exception):
    """A part of a call or response is invalid, although its frame is not.

    It ends this call alone: other calls share the connection.
    """
