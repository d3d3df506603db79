"""Which nodes read the table service for the others."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from savorystand.membership.member import MemberState

if TYPE_CHECKING:
    from savorystand.membership.directory import MemberDirectory
    from savorystand.membership.member import Member

READERS = 2
# A leaving node reads until its peers believe it dead; a suspected one may
# have stopped reading already.
_READING = frozenset((MemberState.JOINING, MemberState.SERVING))


def is_reader(directory: MemberDirectory) -> bool:
    """Return True if this node is a reader of its failure domain."""
    own = directory.local_member()
    rank = _rank(own)
    ahead = 0
    for member in directory.members():
        if member.failure_domain != own.failure_domain:
            continue
        if member.state in _READING and _rank(member) < rank:
            ahead += 1
    return ahead < READERS


def _rank(member: Member) -> bytes:
    node_id = member.peer.node_id
    text = f'{member.failure_domain} {node_id}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
