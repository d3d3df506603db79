"""When a target stops taking new work."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock


@final
class DrainDeadline:
    """The moment from which no work is started."""

    __slots__ = ('_clock', '_deadline_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start open."""
        self._clock = clock
        self._deadline_ms: float | None = None

    def clear(self) -> None:
        """Take new work without an end."""
        self._deadline_ms = None

    def set_after(self, ms: float) -> None:
        """Start no work from ``ms`` milliseconds on."""
        self._deadline_ms = self._clock.now() + ms

    def has_passed(self) -> bool:
        """Return True if no work may be started."""
        if self._deadline_ms is None:
            return False
        return self._clock.now() >= self._deadline_ms
