"""Guards against a node that relies on a confirmation which it has not got."""

from __future__ import annotations

import random

import pytest

from savorystand.clock import ManualClock
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.wire.codec import decode_struct
from savorystand.wire.codec import encode_struct
from savorystand.wire.gen.wire import ttypes
from tests.membership.fake_network import BASE_PORT
from tests.membership.fake_network import FakeNetwork

_REVISION = 7


def _gossip(age_ms: int | None, revision: int = _REVISION) -> ttypes.Gossip:
    return ttypes.Gossip(
        sender='a',
        revision=revision,
        updates=[],
        confirmed_age_ms=age_ms,
        store_generation=3,
    )


def test_age_is_that_of_the_latest_confirmation() -> None:
    """An earlier one must not replace it."""
    clock = ManualClock()
    confirmation = StoreConfirmation(clock=clock)
    clock.advance(5000)
    assert confirmation.age_ms() == 5000
    confirmation.receive(_gossip(400), _REVISION)
    assert confirmation.age_ms() == 400
    confirmation.receive(_gossip(900), _REVISION)
    assert confirmation.age_ms() == 400
    clock.advance(100)
    confirmation.confirm(None)
    assert confirmation.age_ms() == 0


# Guards against a node that takes the confirmation of another revision for its
# own: it may lack a change that the store has accepted since.
@pytest.mark.parametrize(
    'gossip',
    [
        _gossip(10, revision=_REVISION + 1),
        _gossip(10, revision=_REVISION - 1),
        _gossip(None),
        _gossip(-1),
        _gossip(60001),
    ],
)
def test_confirmation_of_another_revision_or_age_is_ignored(
    gossip: ttypes.Gossip,
) -> None:
    """Ages out of range and datagrams of earlier versions count for nothing."""
    clock = ManualClock()
    confirmation = StoreConfirmation(clock=clock)
    clock.advance(5000)
    confirmation.receive(gossip, _REVISION)
    assert confirmation.age_ms() == 5000


def test_node_without_a_confirmation_passes_none_on() -> None:
    """The time since its start says nothing about the store."""
    confirmation = StoreConfirmation(clock=ManualClock())
    gossip = _gossip(None)
    confirmation.add_to(gossip)
    sent = decode_struct(ttypes.Gossip(), encode_struct(gossip))
    assert sent.confirmed_age_ms is None


# Guards against a register that stays incomplete after a restore, as the nodes
# that do not read the store hear nothing of it.
def test_generation_of_the_store_travels_with_the_confirmation() -> None:
    """Only a later confirmation may change the generation."""
    clock = ManualClock()
    seen: list[int | None] = []
    confirmation = StoreConfirmation(clock=clock)
    confirmation.add_generation_observer(seen.append)
    clock.advance(1000)
    confirmation.receive(_gossip(100), _REVISION)
    confirmation.receive(_gossip(200), _REVISION)
    assert seen == [3]
    passed_on = _gossip(None)
    confirmation.add_to(passed_on)
    assert passed_on.store_generation == 3


def test_confirmation_spreads_with_probes() -> None:
    """Each probe and each acknowledgement carries the confirmation."""
    net = FakeNetwork(rng=random.Random(1))
    nodes = [net.start(BASE_PORT + number) for number in range(12)]
    net.run(5000)
    nodes[0].confirmation.confirm(None)
    net.run(5000)
    assert max(node.confirmation.age_ms() for node in nodes) < 6000
