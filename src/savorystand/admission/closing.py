"""When a target stops taking new work."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock


@final
class Closing:
    """The moment from which no work is started."""

    __slots__ = ('_clock', '_closes_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start open."""
        self._clock = clock
        self._closes_ms: float | None = None

    def reopen(self) -> None:
        """Take new work without an end."""
        self._closes_ms = None

    def close_after(self, ms: float) -> None:
        """Start no work from ``ms`` milliseconds on."""
        self._closes_ms = self._clock.now() + ms

    def is_closed(self) -> bool:
        """Return True if no work may be started."""
        if self._closes_ms is None:
            return False
        return self._clock.now() >= self._closes_ms
