"""Errors of the connection to the target."""

from __future__ import annotations


class TargetProtocolError(Exception):
    """The target's response is malformed, too long or cut short."""
