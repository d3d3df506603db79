"""Errors of the wire protocol."""

from __future__ import annotations


class FrameError(Exception):
    """A frame or datagram is malformed or exceeds a limit."""
