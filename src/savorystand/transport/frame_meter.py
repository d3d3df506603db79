"""Counts the frames of connections by kind and distance of the peer."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from savorystand.membership.directory import MemberDirectory
from savorystand.membership.distance import Distance
from savorystand.membership.distance import distance_between
from savorystand.reporting.traffic import TrafficKind
from savorystand.reporting.traffic import find_traffic

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.transport.address import PeerAddress
    from savorystand.transport.writer import FrameObserver
    from savorystand.wire.codec import Message


class FrameMeter:
    """Creates the observers of the frames of each connection."""

    __slots__ = ('_kernel', '_traffic')

    def __init__(self, *, kernel: Kernel) -> None:
        """Count in the service ``traffic`` of ``kernel``."""
        self._kernel = kernel
        self._traffic = find_traffic(kernel)

    def observer(self, peer: PeerAddress) -> FrameObserver:
        """Return the observer of a new connection to a peer."""
        directory = self._kernel.find('membership', MemberDirectory)
        distance = distance_between(
            directory.lookup(peer.node_id), directory.local_member()
        )
        return partial(self._count, distance)

    def _count(self, distance: Distance, frame: Message, size: int) -> None:
        self._traffic.count(kind_of_frame(frame), distance, size)


def kind_of_frame(frame: Message) -> TrafficKind:
    """Return what a frame is for."""
    if frame.ping is not None or frame.pong is not None:
        return TrafficKind.PINGS
    if frame.load_push is not None:
        return TrafficKind.LOADS
    if frame.tables_pull is not None or frame.tables_push is not None:
        return TrafficKind.TABLES
    for exchanged in (frame.digest_pull, frame.members_push, frame.leaving):
        if exchanged is not None:
            return TrafficKind.EXCHANGES
    return TrafficKind.CALLS
