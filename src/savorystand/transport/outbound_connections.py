"""The connections that this node has opened to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.transport.address import PeerAddress
    from savorystand.transport.connection import PeerConnection
    from savorystand.wire.codec import Message


@final
class OutboundConnections:
    """One connection for each peer, and the silent ones that it has replaced.

    A replaced connection stays open for the responses to its calls. It is closed
    once it has none, or by ``monitor_silence``.
    """

    __slots__ = ('_current', '_replaced')

    def __init__(self) -> None:
        """Start without connections."""
        self._current: dict[PeerAddress, PeerConnection] = {}
        self._replaced: list[PeerConnection] = []

    def get(self, peer: PeerAddress) -> PeerConnection | None:
        """Return the connection to a peer, None if there is none."""
        return self._current.get(peer)

    def values(self) -> tuple[PeerConnection, ...]:  # noqa: WPS110 - as of dict
        """Return all connections."""
        return (*self._current.values(), *self._replaced)

    def replace(self, peer: PeerAddress, conn: PeerConnection) -> None:
        """Use a new connection for further calls to a peer."""
        silent = self._current.get(peer)
        self._current[peer] = conn
        if silent is None:
            return
        if silent.in_flight and not silent.closed:
            self._replaced.append(silent)
        else:
            silent.abort()

    def drop(self, peer: PeerAddress) -> None:
        """Close the connection to a peer that will not return."""
        conn = self._current.pop(peer, None)
        if conn is not None:
            conn.abort()

    def close_idle(self, min_idle_ms: float) -> None:
        """Close connections without calls or traffic for ``min_idle_ms``.

        Replaced connections are closed as soon as they have no calls.
        """
        for peer, conn in list(self._current.items()):
            if conn.is_unused(min_idle_ms):
                self.drop(peer)
        for replaced in self._replaced:
            if not replaced.in_flight:
                replaced.abort()
        self._replaced = [each for each in self._replaced if not each.closed]

    def send(self, frame: Message) -> None:
        """Send a control frame to all peers."""
        for conn in self._current.values():
            conn.send(frame)
