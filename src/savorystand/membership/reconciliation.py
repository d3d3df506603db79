"""Anti-entropy over TCP, which makes the member lists of two nodes equal.

The node that begins an exchange sends its bucket digests (``DigestPull``). The
peer answers with the numbers of the buckets that differ (``MembersPush``). The
first node then sends its records in these buckets, several buckets a frame, and
the peer answers each frame with its own records in the same buckets.
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

# Bytes of records in a frame. The rest of the limit of 64 KiB is for the list
# of buckets.
_PUSH_BYTES = 60000
# More valid records than this do not fit into a frame.
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
        """Return the response to a frame of the node that began, or None."""
        try:
            return self._answer(frame)
        except FrameError:
            self.malformed += 1
            return None

    def follow_up(self, frame: Message) -> list[Message]:
        """Return the frames to send after a response of the peer."""
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
        # The peer sends another frame for the buckets that did not fit.
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
        for received in pull.buckets:
            require_fields(received)
        _valid_buckets([entry.bucket for entry in pull.buckets])
        theirs = {entry.bucket: entry.digest for entry in pull.buckets}
        ours = self._members.records.digests.filled()
        return sorted(
            bucket
            for bucket in ours.keys() | theirs.keys()
            if ours.get(bucket, 0) != theirs.get(bucket, 0)
        )

    def _split(self, wanted: list[int]) -> list[Message]:
        """Return pushes that fit into frames.

        A bucket is not divided; records beyond the size of a frame are left
        out.
        """
        pushes = [ttypes.MembersPush(members=[], wanted=[])]
        remaining_bytes = _PUSH_BYTES
        for bucket, records in self._records(wanted).items():
            size = sum(len(encode_struct(record)) for record in records)
            if size > remaining_bytes and pushes[-1].wanted:
                pushes.append(ttypes.MembersPush(members=[], wanted=[]))
                remaining_bytes = _PUSH_BYTES
            fitting = _fitting(records, remaining_bytes)
            pushes[-1].members.extend(fitting)
            pushes[-1].wanted.append(bucket)
            remaining_bytes -= size
        return pushes

    def _records(self, wanted: Iterable[int]) -> dict[int, list[Message]]:
        records: dict[int, list[Message]] = {bucket: [] for bucket in wanted}
        for member in self._members.records.all_members():
            bucket = bucket_of(member.peer.node_id)
            bucket_records = records.get(bucket)
            if bucket_records is not None:
                bucket_records.append(encode_member(member))
        return records


def _fitting(records: list[Message], remaining_bytes: int) -> list[Message]:
    fitting = []
    for record in records:
        remaining_bytes -= len(encode_struct(record))
        if remaining_bytes < 0:
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
