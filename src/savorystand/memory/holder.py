"""Interface of what can let go of the bytes that it holds."""

from __future__ import annotations

from typing import Protocol


class Holder(Protocol):
    """Holds bytes that it can drop before they have been used."""

    @property
    def progress_ms(self) -> float:
        """Return the time of the clock at which its bytes last moved."""

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that ``drop`` would free."""

    def drop(self) -> None:
        """Refuse or give up what the bytes belong to, and free them."""
