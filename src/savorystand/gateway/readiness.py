"""Interface through which listeners ask whether the node is ready."""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable


@runtime_checkable
class Readiness(Protocol):
    """Reports whether this node accepts requests from callers."""

    def ready(self) -> bool:
        """Return True while the node accepts requests from callers."""
