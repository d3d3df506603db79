"""A node must drop malformed input and bound the size of its output.

A faulty peer can send damaged datagrams or records out of bounds. An exception
would end the task that receives, and an invalid record would spread to other
nodes. A long member list does not fit into one frame, and updates on each
datagram after many failures would exceed the limit of 16 KB/s.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorystand.clock import ManualClock
from savorystand.membership.allowance import BYTES_PER_SECOND
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.conversion import MAX_NAME_BYTES
from savorystand.membership.conversion import decode_address
from savorystand.membership.conversion import encode_member
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.membership.outgoing import Outgoing
from savorystand.membership.records import MemberRecords
from savorystand.transport.address import PeerAddress
from savorystand.wire.codec import FrameError
from savorystand.wire.codec import encode_struct
from savorystand.wire.gen.wire import ttypes
from tests.membership.fake_network import BASE_PORT
from tests.membership.fake_network import HOST
from tests.membership.fake_network import FakeNetwork


def _gossip() -> bytes:
    net = FakeNetwork(rng=random.Random(1))
    local = encode_member(net.start(BASE_PORT).records.local)
    gossip = ttypes.Gossip(
        sender='sender',
        revision=1,
        probe=ttypes.Probe(sequence=1),
        ack=ttypes.ProbeAck(sequence=1),
        request=ttypes.ProbeRequest(
            sequence=1, node_id='other', host=HOST, port=1
        ),
        updates=[local],
        confirmed_age_ms=10,
        store_generation=2,
    )
    return encode_struct(gossip)


GOSSIP = _gossip()
_LONG_ZONE = 'x' * 1400


@given(
    length=st.integers(0, len(GOSSIP)),
    offset=st.integers(0, len(GOSSIP) - 1),
    junk=st.binary(max_size=20),
)
def test_damaged_datagrams_never_raise(
    length: int, offset: int, junk: bytes
) -> None:
    """A damaged datagram must not end the task that receives."""
    net = FakeNetwork(rng=random.Random(2))
    node = net.start(BASE_PORT)
    damaged = GOSSIP[:offset] + junk + GOSSIP[offset + len(junk) :]
    node.swim.receive(damaged, HOST, 1)
    node.swim.receive(GOSSIP[:length], HOST, 1)
    node.swim.receive(junk, HOST, 1)
    assert node.swim.malformed <= 3
    assert node.swim.malformed or length == len(GOSSIP)


@given(
    field=st.sampled_from(
        (
            ('node_id', ''),
            ('node_id', 'n' * (MAX_NAME_BYTES + 1)),
            ('pool', 'p' * (MAX_NAME_BYTES + 1)),
            ('host', 'example.org'),
            ('port', 70000),
            ('state', 9),
            ('version', -1),
            ('region', None),
        ),
    ),
)
def test_records_out_of_bounds_are_dropped(field: tuple[str, object]) -> None:
    """An invalid record must not enter the list or be passed on."""
    net = FakeNetwork(rng=random.Random(3))
    node = net.start(BASE_PORT)
    record = encode_member(_record(1))
    setattr(record, *field)
    gossip = ttypes.Gossip(sender='s', revision=0, updates=[record])
    push = ttypes.MembersPush(members=[record], wanted=[])
    node.swim.receive(encode_struct(gossip), HOST, 1)
    node.reconciler.answer(ttypes.Frame(members_push=push))
    wanted = ttypes.MembersPush(members=[], wanted=[-1])
    node.reconciler.answer(ttypes.Frame(members_push=wanted))
    assert len(node.records) == 1
    assert (node.swim.malformed, node.reconciler.malformed) == (1, 2)


def test_large_list_is_pushed_in_frames_and_datagrams_stay_small() -> None:
    """A new node must get a list many times the size of a frame.

    The fake network checks the size of each frame and datagram.
    """
    net = FakeNetwork(rng=random.Random(4))
    old = net.start(BASE_PORT)
    for number in range(2000):
        old.members.merge(_record(number))
    new = net.start(BASE_PORT + 1)
    net.exchange(new, old.records.local.peer)
    assert len(new.records) == len(old.records) == 2002
    net.run(1000)
    assert net.sent > 0


def _record(number: int) -> Member:
    return Member(
        peer=PeerAddress(node_id=str(number), host=HOST, port=10000 + number),
        started_ms=number,
        version=1,
        state=MemberState.SERVING,
        failure_domain='d' * MAX_NAME_BYTES,
        region='r',
        pool='p' * MAX_NAME_BYTES,
    )


def test_updates_stay_within_allowance() -> None:
    """A lost failure domain must not raise control traffic over 16 KB/s.

    After many failures a node sends 100 direct probes, indirect probes and
    acknowledgements a second. Without the allowance each of them carries up to
    1,400 bytes of updates.
    """
    clock = ManualClock()
    sent: list[bytes] = []
    records = MemberRecords(clock=clock, local=_record(0))
    outgoing = Outgoing(
        records=records,
        clock=clock,
        rng=random.Random(4),
        send=lambda datagram, host, port: sent.append(datagram),
        confirmation=StoreConfirmation(clock=clock),
    )
    for number in range(1, 300):
        records.put(_record(number))
    for _ in range(200):
        clock.advance(10)
        outgoing.disseminate(1)
    sent_per_second = sum(map(len, sent)) / 2
    assert BYTES_PER_SECOND < sent_per_second < 16000


# Guards against updates of all members that each node sends to all regions,
# which a link between regions is paid for by the byte.
def test_datagrams_to_other_regions_carry_few_updates() -> None:
    """The updates themselves are those of all regions."""
    clock = ManualClock()
    sent: list[bytes] = []
    records = MemberRecords(clock=clock, local=_record(0))
    outgoing = Outgoing(
        records=records,
        clock=clock,
        rng=random.Random(4),
        send=lambda datagram, host, port: sent.append(datagram),
        confirmation=StoreConfirmation(clock=clock),
    )
    far = replace(_record(1), region='other')
    records.put(far)
    for number in range(2, 300):
        records.put(_record(number))
    for _ in range(100):
        clock.advance(1000)
        outgoing.send(far.peer, ttypes.Gossip())
    assert 200 < max(map(len, sent)) < 500
    sent.clear()
    outgoing.disseminate(40, nearby=True)
    assert max(map(len, sent)) > 1000
    assert len(sent) == 40


def test_long_zone_of_an_address_is_malformed() -> None:
    """A record that no datagram can carry would hold all others back."""
    record = ttypes.ProbeRequest(
        sequence=1, node_id='a' * 16, host=f'fe80::1%{_LONG_ZONE}', port=1
    )
    with pytest.raises(FrameError, match='1408 characters'):
        decode_address(record)
