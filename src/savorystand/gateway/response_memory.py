"""Bounds the memory of the responses that arrive from the target."""

from __future__ import annotations

from typing import Protocol

from savorystand.gateway.errors import TargetProtocolError

# Several responses of the largest size, and a fraction of what the process of a
# node may use.
MAX_HELD_BYTES = 67108864


class ResponseReceiver(Protocol):
    """A connection on which a response arrives."""

    def fail(self, failure: Exception) -> None:
        """End the exchange in progress with an error."""


class ResponseMemory:
    """Counts the bytes of incomplete bodies on all connections to a target.

    A faulty target may send bodies without end on each of them. Beyond the
    bound the longest body is given up, which ends those before any other.
    """

    __slots__ = ('_held', '_max_bytes', '_total')

    def __init__(self, *, max_bytes: int = MAX_HELD_BYTES) -> None:
        """Start without a response; hold up to ``max_bytes`` in total."""
        self._max_bytes = max_bytes
        self._held: dict[ResponseReceiver, int] = {}
        self._total = 0

    def begin(self, receiver: ResponseReceiver) -> None:
        """Add a connection on which a response is expected."""
        self._held[receiver] = 0

    def hold(self, receiver: ResponseReceiver, size: int) -> None:
        """Count ``size`` further bytes of a body, fewer if it is negative.

        Raises:
            TargetProtocolError: the response has been given up.
        """
        if receiver not in self._held:
            raise _excess(self._max_bytes)
        self._held[receiver] += size
        self._total += size
        if self._total > self._max_bytes:
            longest = max(self._held, key=self._held.__getitem__)
            self.release(longest)
            longest.fail(_excess(self._max_bytes))

    def release(self, receiver: ResponseReceiver) -> None:
        """Remove a connection whose response is complete or given up."""
        self._total -= self._held.pop(receiver, 0)


def _excess(max_bytes: int) -> TargetProtocolError:
    return TargetProtocolError(
        f'incomplete responses of the target exceed {max_bytes} bytes'
    )
