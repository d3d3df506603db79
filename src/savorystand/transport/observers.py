"""Observers of the load reports and control frames of peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from savorystand.call import TargetLoad
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import Message

LoadObserver: TypeAlias = Callable[[PeerAddress, TargetLoad], None]
ControlObserver: TypeAlias = Callable[[PeerAddress, Message], None]


class PeerObservers:
    """Passes load reports and control frames to the registered observers."""

    __slots__ = ('control_observers', 'load_observers')

    def __init__(self) -> None:
        """Create two empty lists of observers."""
        self.load_observers: list[LoadObserver] = []
        self.control_observers: list[ControlObserver] = []

    def notify_load(self, peer: PeerAddress, load: TargetLoad) -> None:
        """Call all load observers with the load report of a peer."""
        for observer in self.load_observers:
            observer(peer, load)

    def notify_control(self, peer: PeerAddress, frame: Message) -> None:
        """Call all control observers with a control frame from a peer."""
        for observer in self.control_observers:
            observer(peer, frame)
