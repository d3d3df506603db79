"""Anti-entropy: two nodes make their member lists equal over TCP.

The node that begins sends its bucket digests (``DigestPull``). The other
answers which buckets differ. The first then sends its records in these, some
buckets a frame, and gets the other's records in the same buckets back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.membership.buckets import BUCKET_COUNT
from savorystand.membership.buckets import bucket_of
from savorystand.membership.conversion import decode_members
from savorystand.membership.conversion import encode_member
from savorystand.wire.codec import Message
from savorystand.wire.codec import encode_struct
from savorystand.wire.codec import require_fields
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.membership.member_list import MemberList

# Leaves room for the list of buckets below the limit of 64 KiB.
_PUSH_BYTES = 60000
# A frame cannot hold more records that are valid.
_MAX_RECORDS = 4096


class Reconciler:
    """Implements both sides of an exchange, without the transport."""

    __slots__ = ('_members', 'malformed')

    def __init__(self, *, members: MemberList) -> None:
        """Reconcile ``members``."""
        self._members = members
        # Count of malformed frames.
        self.malformed = 0

    def begin(self) -> Message:
        """Return the frame that begins an exchange."""
        digests = self._members.records.digests.filled()
        buckets = [
            ttypes.BucketDigest(bucket=bucket, digest=digest)
            for bucket, digest in digests.items()
        ]
        pull = ttypes.DigestPull(buckets=buckets)
        return ttypes.Frame(digest_pull=pull)

    def answer(self, frame: Message) -> Message | None:
        """Return the response to a frame of the node that began."""
        try:
            return self._answer(frame)
        except FrameError:
            self.malformed += 1
            return None

    def follow_up(self, frame: Message) -> list[Message]:
        """Return the frames to send after a response to this node."""
        if frame.members_push is None:
            return []
        try:
            wanted = self._accept(frame.members_push)
        except FrameError:
            self.malformed += 1
            return []
        return [ttypes.Frame(members_push=push) for push in self._split(wanted)]

    def _answer(self, frame: Message) -> Message | None:
        if frame.digest_pull is not None:
            wanted = self._differing_buckets(frame.digest_pull)
            if not wanted:
                return None
            push = ttypes.MembersPush(members=[], wanted=wanted)
            return ttypes.Frame(members_push=push)
        if frame.members_push is None:
            return None
        wanted = self._accept(frame.members_push)
        if not wanted:
            return None
        push = self._split(wanted)[0]
        # The peer requests the buckets that did not fit again.
        push.wanted = [bucket for bucket in wanted if bucket not in push.wanted]
        return ttypes.Frame(members_push=push)

    def _accept(self, push: Message) -> list[int]:
        require_fields(push)
        wanted = _valid_buckets(push.wanted)
        for member in decode_members(push.members, _MAX_RECORDS):
            self._members.merge(member)
        return wanted

    def _differing_buckets(self, pull: Message) -> list[int]:
        require_fields(pull)
        for digest in pull.buckets:
            require_fields(digest)
        _valid_buckets([found.bucket for found in pull.buckets])
        theirs = {found.bucket: found.digest for found in pull.buckets}
        ours = self._members.records.digests.filled()
        return sorted(
            bucket
            for bucket in ours.keys() | theirs.keys()
            if ours.get(bucket, 0) != theirs.get(bucket, 0)
        )

    def _split(self, wanted: list[int]) -> list[Message]:
        """Return pushes of whole buckets that fit into frames."""
        pushes = [ttypes.MembersPush(members=[], wanted=[])]
        room = _PUSH_BYTES
        for bucket, records in self._records(wanted).items():
            size = sum(len(encode_struct(record)) for record in records)
            if size > room and pushes[-1].wanted:
                pushes.append(ttypes.MembersPush(members=[], wanted=[]))
                room = _PUSH_BYTES
            fitting = _fitting(records, room)
            pushes[-1].members.extend(fitting)
            pushes[-1].wanted.append(bucket)
            room -= size
        return pushes

    def _records(self, wanted: Iterable[int]) -> dict[int, list[Message]]:
        records: dict[int, list[Message]] = {bucket: [] for bucket in wanted}
        for member in self._members.records.all_members():
            bucket = bucket_of(member.peer.node_id)
            chosen = records.get(bucket)
            if chosen is not None:
                chosen.append(encode_member(member))
        return records


def _fitting(records: list[Message], room: int) -> list[Message]:
    fitting = []
    for record in records:
        room -= len(encode_struct(record))
        if room < 0:
            break
        fitting.append(record)
    return fitting


def _valid_buckets(buckets: list[int]) -> list[int]:
    if len(buckets) > BUCKET_COUNT:
        raise FrameError(
            f'frame has {len(buckets)} buckets, more than {BUCKET_COUNT}'
        )
    for bucket in buckets:
        if not 0 <= bucket < BUCKET_COUNT:
            raise FrameError(f'bucket {bucket} is not in range({BUCKET_COUNT})')
    return buckets
