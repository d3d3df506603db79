"""Rate limit on the bytes of member updates that a node sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from savorystand.clock import Clock

# Five datagrams of 1,400 bytes, which gossip and regular probes send a second.
# The rest of a node's 16 KB a second is for its other datagrams: probes of
# members that seem to have failed, indirect probes and acknowledgements without
# updates.
BYTES_PER_SECOND = 7000


class UpdateAllowance:
    """Token bucket that holds at most one second's bytes.

    Spending more than it holds makes it negative.
    """

    __slots__ = ('_clock', '_remaining_bytes', '_updated_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Create a full bucket."""
        self._clock = clock
        self._remaining_bytes: float = BYTES_PER_SECOND
        self._updated_ms = clock.now()

    def remaining_bytes(self) -> int:
        """Return the bytes that may be sent now, at least 0."""
        now = self._clock.now()
        earned = (now - self._updated_ms) * BYTES_PER_SECOND / MS_PER_SECOND
        self._updated_ms = now
        self._remaining_bytes = min(
            BYTES_PER_SECOND, self._remaining_bytes + earned
        )
        return max(0, int(self._remaining_bytes))

    def spend(self, size: int) -> None:
        """Subtract ``size`` bytes that were sent."""
        self._remaining_bytes -= size
