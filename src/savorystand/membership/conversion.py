"""Conversion of member records and datagrams, with bounds on their size."""

from __future__ import annotations

import ipaddress
import sys

from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import Message
from savorystand.wire.codec import decode_struct
from savorystand.wire.codec import require_fields
from savorystand.wire.errors import FrameError
from savorystand.wire.gen.wire import ttypes

# Without the tag of the authenticator; with it at most 1,400 bytes.
MAX_DATAGRAM_BYTES = 1384
# With names of this length and an IP number without a zone, a record takes less
# than 350 bytes, about a quarter of a datagram.
MAX_NAME_BYTES = 64
# More records than this do not fit into a datagram, even of minimal size.
MAX_UPDATES = 64
# Bound of times, versions and revisions in records.
MAX_NUMBER = 0x3FFFFFFFFFFFFFFF
_MAX_PORT = 65535
# The longest IPv6 number with a zone, whose name is that of an interface.
_MAX_HOST_LENGTH = 64


def encode_member(member: Member) -> Message:
    """Return the thrift struct of a record."""
    return ttypes.Member(
        node_id=member.peer.node_id,
        started_ms=member.started_ms,
        version=member.version,
        state=int(member.state),
        host=member.peer.host,
        port=member.peer.port,
        failure_domain=member.failure_domain,
        region=member.region,
        pool=member.pool,
        revision=member.revision,
    )


def decode_member(record: Message) -> Member:
    """Return the record of a thrift struct.

    Names that many records share are interned to save memory.

    Raises:
        FrameError: a field is out of bounds.
    """
    require_fields(record)
    for name in (record.failure_domain, record.region, record.pool):
        if len(name.encode()) > MAX_NAME_BYTES:
            raise FrameError(
                f'name in a member record exceeds {MAX_NAME_BYTES} bytes'
            )
    for number in (record.started_ms, record.version, record.revision):
        if not 0 <= number <= MAX_NUMBER:
            raise FrameError(
                f'number {number} in a member record is out of range'
            )
    try:
        state = MemberState(record.state)
    except ValueError as exc:
        raise FrameError(f'unknown member state {record.state}') from exc
    return Member(
        peer=decode_address(record),
        started_ms=record.started_ms,
        version=record.version,
        state=state,
        failure_domain=sys.intern(record.failure_domain),
        region=sys.intern(record.region),
        pool=sys.intern(record.pool),
        revision=record.revision,
    )


def decode_address(record: Message) -> PeerAddress:
    """Return the address in a member record or a probe request.

    Raises:
        FrameError: a field is out of bounds or the host is no IP number.
    """
    require_fields(record)
    check_node_id(record.node_id)
    if len(record.host) > _MAX_HOST_LENGTH:
        raise FrameError(
            f'host of a member has {len(record.host)} characters,'
            f' limit {_MAX_HOST_LENGTH}'
        )
    try:
        ipaddress.ip_address(record.host)
    except ValueError as exc:
        raise FrameError(
            f'host {record.host!r} of a member is not an IP number'
        ) from exc
    if not 0 < record.port <= _MAX_PORT:
        raise FrameError(f'port {record.port} of a member is out of range')
    return PeerAddress(
        node_id=record.node_id,
        host=sys.intern(record.host),
        port=record.port,
    )


def decode_members(records: list[Message], limit: int) -> list[Member]:
    """Return the records of a list of thrift structs.

    Raises:
        FrameError: the list is longer than ``limit`` or a record is invalid.
    """
    if len(records) > limit:
        raise FrameError(
            f'message has {len(records)} member records, limit {limit}'
        )
    return [decode_member(record) for record in records]


def decode_gossip(datagram: bytes) -> Message:
    """Return the thrift struct of a datagram.

    Raises:
        FrameError: the datagram is too long or malformed.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise FrameError(
            f'datagram has {len(datagram)} bytes, limit {MAX_DATAGRAM_BYTES}'
        )
    gossip = decode_struct(ttypes.Gossip(), datagram)
    check_node_id(gossip.sender)
    for part in (gossip.probe, gossip.ack, gossip.request):
        if part is not None:
            require_fields(part)
    if not 0 <= gossip.revision <= MAX_NUMBER:
        raise FrameError(f'datagram revision {gossip.revision} is out of range')
    return gossip


def check_node_id(node_id: str) -> None:
    """Check the length of a node id.

    Raises:
        FrameError: it is empty or longer than ``MAX_NAME_BYTES``.
    """
    if not 0 < len(node_id.encode()) <= MAX_NAME_BYTES:
        raise FrameError(f'node id is empty or exceeds {MAX_NAME_BYTES} bytes')


def is_pool_name(name: object) -> bool:
    """Return True if records can carry ``name`` as the name of a pool."""
    # Surrogates, which cannot be encoded, are not printable.
    if not isinstance(name, str) or not name.isprintable():
        return False
    return 0 < len(name.encode()) <= MAX_NAME_BYTES
