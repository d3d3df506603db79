"""Errors of decoding and encoding messages."""

from __future__ import annotations


class FrameError(Exception):
    """A frame or datagram is malformed or exceeds a limit."""
