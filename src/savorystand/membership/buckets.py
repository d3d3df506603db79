"""Digests of the member list, compared between nodes."""

from __future__ import annotations

import hashlib
import zlib

from savorystand.membership.member import Member
from savorystand.membership.member import MemberState

# 30 records a bucket at 7,700 members; all digests take less than 4 KiB.
BUCKET_COUNT = 256
_DIGEST_BYTES = 8


def bucket_of(node_id: str) -> int:
    """Return the bucket of a member, below ``BUCKET_COUNT``."""
    return zlib.crc32(node_id.encode()) % BUCKET_COUNT


class BucketDigests:
    """One 64-bit digest a bucket, updated with each record.

    Dead members do not count: nodes forget them at different times, and a
    member that only one of two nodes believes dead still makes a difference.
    """

    __slots__ = ('_digests',)

    def __init__(self) -> None:
        """Start with empty buckets."""
        self._digests = [0 for _bucket in range(BUCKET_COUNT)]

    def toggle(self, member: Member) -> None:
        """Add a record that is absent, or remove one that is present."""
        if member.state is MemberState.DEAD:
            return
        node_id = member.peer.node_id
        state = member.state.value
        text = f'{node_id} {member.version} {state}'
        digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
        number = int.from_bytes(digest.digest(), 'big', signed=True)
        self._digests[bucket_of(node_id)] ^= number

    def filled(self) -> dict[int, int]:
        """Return the digests that are not 0, by bucket."""
        return {
            bucket: digest
            for bucket, digest in enumerate(self._digests)
            if digest
        }
