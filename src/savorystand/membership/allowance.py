"""Bound on the bytes of updates that are passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from savorystand.clock import Clock

# Five datagrams of 1,400 bytes, which regular gossip and probes send a second.
# The rest of the 16 KB a second of a node is for what else it sends: checks,
# relayed probes and answers without updates.
BYTES_PER_SECOND = 7000


class UpdateAllowance:
    """Grows with time up to one second's worth; spending may overdraw it."""

    __slots__ = ('_clock', '_left', '_noted_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start with a second's worth."""
        self._clock = clock
        self._left: float = BYTES_PER_SECOND
        self._noted_ms = clock.now()

    def left(self) -> int:
        """Return the bytes that may be sent now, at least 0."""
        now = self._clock.now()
        earned = (now - self._noted_ms) * BYTES_PER_SECOND / MS_PER_SECOND
        self._noted_ms = now
        self._left = min(BYTES_PER_SECOND, self._left + earned)
        return max(0, int(self._left))

    def spend(self, size: int) -> None:
        """Take off bytes that were sent."""
        self._left -= size
