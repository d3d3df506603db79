"""Closes idle connections of callers to make room for new ones."""

from __future__ import annotations

import heapq
from typing import Protocol
from typing import TypeVar

# Part of the connections that is closed at once, so that the search for them
# is seldom.
_CLOSED_FRACTION = 0.03125


# Receive buffer of the system for each connection.
RECEIVE_BYTES = 16384
# Descriptors for files, and the part of the others that is left for connections
# to peers, to the store, to the target and from it.
_FILE_DESCRIPTORS = 200
_OTHER_FRACTION = 0.25


def caller_connections(max_descriptors: int, max_unread_bytes: float) -> int:
    """Return how many connections callers may have.

    They use a part of the ``max_descriptors`` of the process, and what it has
    not read yet stays within ``max_unread_bytes`` on all of them together.
    """
    sockets = (max_descriptors - _FILE_DESCRIPTORS) * (1 - _OTHER_FRACTION)
    return max(1, int(min(sockets, max_unread_bytes / RECEIVE_BYTES)))


class CallerConnection(Protocol):
    """A connection of a caller."""

    # True once a complete request has arrived.
    had_request: bool

    def idle_since(self) -> float | None:
        """Return since when it has been idle, None if it is not."""

    def abort(self) -> None:
        """Close the connection at once."""


Conn = TypeVar('Conn', bound=CallerConnection)


def close_longest_idle(connections: set[Conn], max_connections: int) -> None:
    """Close those that were idle for longest, so that there is room for one.

    Those without any request go first. They are removed from ``connections``.
    """
    excess = len(connections) + 1 - max_connections
    count = max(excess, int(max_connections * _CLOSED_FRACTION))
    idle = []
    for number, conn in enumerate(connections):
        since = conn.idle_since()
        if since is not None:
            idle.append((conn.had_request, since, number, conn))
    for _, _, _, closed in heapq.nsmallest(count, idle):
        connections.discard(closed)
        closed.abort()
