"""Digests of the member list, compared between nodes."""

from __future__ import annotations

import hashlib
import zlib

from savorystand.membership.member import Member
from savorystand.membership.member import MemberState

# At 7,700 members a bucket has 30 records, and all digests together take less
# than 4 KiB.
BUCKET_COUNT = 256
_DIGEST_BYTES = 8


def bucket_of(node_id: str) -> int:
    """Return the number of a member's bucket, below ``BUCKET_COUNT``."""
    return zlib.crc32(node_id.encode()) % BUCKET_COUNT


class BucketDigests:
    """The XOR of the 64-bit digests of the records in each bucket.

    Dead members are left out, as nodes remove them at different times. The
    digests of two nodes still differ if only one of them believes a member
    dead.
    """

    __slots__ = ('_digests',)

    def __init__(self) -> None:
        """Create empty buckets."""
        self._digests = [0 for _bucket in range(BUCKET_COUNT)]

    def toggle(self, member: Member) -> None:
        """Add a record, or remove it if it was added before.

        A dead member is ignored.
        """
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
