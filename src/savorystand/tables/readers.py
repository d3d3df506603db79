"""Selects the nodes that read the table service for the others."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import TYPE_CHECKING

from savorystand.membership.member import MemberState

if TYPE_CHECKING:
    from savorystand.membership.directory import MemberDirectory
    from savorystand.membership.member import Member

_READERS_PER_DOMAIN = 2
# Nodes in other states are not counted as readers: a suspected node may have
# stopped reading already. A leaving node still reads until its peers consider
# it dead.
_READING_STATES = frozenset((MemberState.JOINING, MemberState.SERVING))


def is_reader(directory: MemberDirectory) -> bool:
    """Return True if this node reads for its failure domain."""
    local = directory.local_member()
    rank = _rank(local)
    lower_ranked = 0
    for member in directory.members():
        if member.failure_domain != local.failure_domain:
            continue
        if member.state in _READING_STATES and _rank(member) < rank:
            lower_ranked += 1
    return lower_ranked < _READERS_PER_DOMAIN


def count_readers(directory: MemberDirectory) -> int:
    """Return how many nodes read for the failure domains, at least 1."""
    domains = Counter(
        member.failure_domain
        for member in directory.members()
        if member.state in _READING_STATES
    )
    readers = (min(_READERS_PER_DOMAIN, count) for count in domains.values())
    return max(1, sum(readers))


def _rank(member: Member) -> bytes:
    node_id = member.peer.node_id
    text = f'{member.failure_domain} {node_id}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
