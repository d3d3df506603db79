"""Queue of member updates to piggyback on datagrams."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

from savorystand.membership.conversion import encode_member
from savorystand.wire.codec import Message
from savorystand.wire.codec import encode_struct

if TYPE_CHECKING:
    from savorystand.membership.member import Member

# Each update is sent 3 x log2(n) times, which reaches every member with high
# probability (Das et al., 2002).
_SEND_FACTOR = 3


@final
@dataclass(slots=True, kw_only=True)
class _Update:
    record: Message
    size: int
    sends: int = 0


class UpdateQueue:
    """Holds at most one update a member, the newest last."""

    __slots__ = ('_updates',)

    def __init__(self) -> None:
        """Create an empty queue."""
        self._updates: dict[str, _Update] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._updates)

    def push(self, member: Member) -> None:
        """Queue an update; it replaces an older one of the same member."""
        node_id = member.peer.node_id
        record = encode_member(member)
        self._updates.pop(node_id, None)
        self._updates[node_id] = _Update(
            record=record,
            size=len(encode_struct(record)),
        )

    def take(self, remaining_bytes: int, member_count: int) -> list[Message]:
        """Return updates of at most ``remaining_bytes``, newest first.

        Each update is returned ``_SEND_FACTOR`` x log2(``member_count``)
        times and then removed from the queue.
        """
        max_sends = _SEND_FACTOR * max(
            1, math.ceil(math.log2(max(2, member_count)))
        )
        taken: list[Message] = []
        finished: list[str] = []
        for node_id in reversed(self._updates):
            update = self._updates[node_id]
            remaining_bytes -= update.size
            if remaining_bytes < 0:
                break
            taken.append(update.record)
            update.sends += 1
            if update.sends >= max_sends:
                finished.append(node_id)
        for finished_id in finished:
            del self._updates[finished_id]
        return taken
