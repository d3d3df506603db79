"""Guards against idle connections that keep ordinary callers out (letter 11)."""

from __future__ import annotations

import math

from savorystand.gateway.idle_connections import RECEIVE_BYTES
from savorystand.gateway.idle_connections import caller_connections
from savorystand.gateway.idle_connections import close_longest_idle


class _Connection:
    def __init__(self, since: float | None, *, had_request: bool) -> None:
        self.since = since
        self.had_request = had_request
        self.aborted = False

    def idle_since(self) -> float | None:
        """Return since when the connection is idle."""
        return self.since

    def abort(self) -> None:
        """Record that the connection is closed."""
        self.aborted = True


def test_connections_in_use_are_kept() -> None:
    """A request in progress must not be cut for a new connection."""
    used = _Connection(None, had_request=False)
    kept = _Connection(1, had_request=True)
    unused = _Connection(2, had_request=False)
    connections = {used, kept, unused}
    close_longest_idle(connections, 3)
    assert unused.aborted
    assert connections == {used, kept}
    close_longest_idle(connections, 2)
    close_longest_idle(connections, 1)
    assert connections == {used}


def test_descriptors_are_left_for_others() -> None:
    """Callers must not take those of peers, the store and the target."""
    assert caller_connections(4100, math.inf) == 2925
    assert caller_connections(400, math.inf) == 150
    assert caller_connections(100, math.inf) == 1


def test_unread_input_of_all_connections_is_bounded() -> None:
    """What the system holds for the process counts towards its memory."""
    assert caller_connections(4100, 1000 * RECEIVE_BYTES) == 1000
