"""Errors of the memory account."""

from __future__ import annotations


class MemoryShortError(Exception):
    """There is no room for further bytes, and none could be made."""
