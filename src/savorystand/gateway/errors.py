"""Errors of HTTP connections to the local target."""

from __future__ import annotations


class TargetProtocolError(Exception):
    """The connection to the target is closed, or its response is invalid.

    Invalid responses are malformed, too large, truncated or followed by
    another one.
    """
