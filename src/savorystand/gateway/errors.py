"""Errors of HTTP connections to the local target."""

from __future__ import annotations


class TargetProtocolError(Exception):
    """The response of the target is malformed, too large or truncated."""
