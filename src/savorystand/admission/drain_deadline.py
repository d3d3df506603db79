"""The time at which the local target stops starting calls."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.clock import Clock


@final
class DrainDeadline:
    """The time from which no call may start; unset while serving."""

    __slots__ = ('_clock', '_deadline_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Create an unset deadline."""
        self._clock = clock
        self._deadline_ms: float | None = None

    def clear(self) -> None:
        """Remove the deadline, so that calls may start."""
        self._deadline_ms = None

    def set_after(self, ms: float) -> None:
        """Set the deadline to ``ms`` milliseconds from now.

        An earlier deadline stays: a target that has left may not get calls
        again because its node stops later.
        """
        deadline_ms = self._clock.now() + ms
        if self._deadline_ms is None or deadline_ms < self._deadline_ms:
            self._deadline_ms = deadline_ms

    def has_passed(self) -> bool:
        """Return True if calls may no longer start."""
        if self._deadline_ms is None:
            return False
        return self._clock.now() >= self._deadline_ms
