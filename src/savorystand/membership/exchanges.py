"""Runs anti-entropy exchanges over the transport."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.membership.conversion import check_node_id
from savorystand.membership.reconciliation import Reconciler
from savorystand.transport.errors import ConnectionLostError
from savorystand.wire.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from savorystand.membership.contacts import Contacts
    from savorystand.membership.member_list import MemberList
    from savorystand.transport.address import PeerAddress
    from savorystand.transport.peers import PeerTransport
    from savorystand.wire.codec import Message


class Exchanges:
    """Begins exchanges; processes exchange and leaving frames of peers."""

    __slots__ = (
        '_contacts',
        '_members',
        '_on_failure',
        '_reconciler',
        '_tasks',
        '_transport',
        'malformed',
    )

    def __init__(
        self,
        *,
        members: MemberList,
        contacts: Contacts,
        on_failure: Callable[[str], None],
    ) -> None:
        """Reconcile ``members``.

        ``on_failure`` gets the node id of a peer that cannot be reached.
        """
        self._members = members
        self._contacts = contacts
        self._on_failure = on_failure
        self._reconciler = Reconciler(members=members)
        self._tasks: TaskGroup | None = None
        self._transport: PeerTransport | None = None
        # Count of malformed leaving frames; the reconciler counts the others.
        self.malformed = 0

    def start(self, transport: PeerTransport, tasks: TaskGroup) -> None:
        """Exchange frames over ``transport`` in tasks of ``tasks``."""
        self._transport = transport
        self._tasks = tasks
        transport.add_control_observer(self.receive)

    def begin_queued(self) -> None:
        """Begin an exchange with each queued peer."""
        for peer in self._contacts.take():
            self._start_send(peer, [self._reconciler.begin()])

    def begin_regular(self) -> None:
        """Begin an exchange with a random peer, if there is one."""
        partner = self._contacts.partner()
        if partner is not None:
            self._start_send(partner, [self._reconciler.begin()])

    def answer(self, frame: Message) -> Message | None:
        """Return the response to a frame on an inbound connection, or None."""
        if frame.leaving is None:
            return self._reconciler.answer(frame)
        self._receive_leaving(frame.leaving)
        return None

    def receive(self, peer: PeerAddress, frame: Message) -> None:
        """Process a frame on a connection that this node opened."""
        if frame.leaving is None:
            self._start_send(peer, self._reconciler.follow_up(frame))
        else:
            self._receive_leaving(frame.leaving)

    def _receive_leaving(self, leaving: Message) -> None:
        try:
            check_node_id(leaving.node_id or '')
        except FrameError:
            self.malformed += 1
            return
        self._members.mark_leaving(leaving.node_id)

    def _start_send(self, peer: PeerAddress, frames: list[Message]) -> None:
        if frames and self._tasks is not None:
            self._tasks.start_soon(self._send, peer, frames)

    async def _send(self, peer: PeerAddress, frames: list[Message]) -> None:
        if self._transport is None:
            return
        try:
            for frame in frames:
                await self._transport.send(peer, frame)
        except ConnectionLostError:
            self._on_failure(peer.node_id)
