"""Rules of the member list that hold before the lists converge.

Nodes select targets by their member list at any time. A replaced process, a
suspected member or a stale record among the serving members sends calls to a
target that does not respond. A pool that is emptied wrongly refuses all calls.
"""

from __future__ import annotations

import random
from dataclasses import replace

from savorystand.membership.member import MemberState
from savorystand.membership.records import DEAD_RETENTION_MS
from tests.membership.fake_network import BASE_PORT
from tests.membership.fake_network import FakeNetwork
from tests.membership.fake_network import FakeNode


def _converged_network(size: int) -> FakeNetwork:
    net = FakeNetwork(rng=random.Random(5))
    for port in range(BASE_PORT, BASE_PORT + size):
        net.start(port)
    net.run(5000)
    assert net.converged()
    return net


def _serving(node: FakeNode) -> list[int]:
    return sorted(member.peer.port for member in node.records.serving('pool'))


def test_restart_ends_the_earlier_process_at_once() -> None:
    """Calls must not go to the node id of a process that was replaced."""
    net = _converged_network(4)
    node = net.nodes[BASE_PORT]
    old = net.nodes[BASE_PORT + 3].records.local
    new = net.start(BASE_PORT + 3).records.local
    node.members.merge(new)
    member = node.records.lookup(old.peer.node_id)
    assert member is not None
    assert member.state is MemberState.DEAD
    node.members.merge(replace(old, version=old.version + 1))
    assert node.records.serving('pool').count(new) == 1
    assert len(_serving(node)) == 4


def test_suspected_members_serve_only_as_a_last_resort() -> None:
    """A suspected target gets no work, but a pool is never left empty."""
    net = _converged_network(3)
    node = net.nodes[BASE_PORT]
    peer_ids = [member.peer.node_id for member in node.records.live_peers()]
    node.members.suspect(peer_ids[0])
    assert len(_serving(node)) == 2
    node.members.declare(state=MemberState.LEAVING, pool='pool')
    node.members.suspect(peer_ids[1])
    assert len(_serving(node)) == 2


def test_indirect_probes_prevent_suspicion_on_broken_link() -> None:
    """One broken link between two nodes must not raise any suspicion."""
    net = _converged_network(6)
    broken_link = {BASE_PORT, BASE_PORT + 1}
    send_datagram = net.send
    versions = net.expected_members()

    def send(source: int, to: int, payload: bytes) -> None:
        if {source, to} != broken_link:
            send_datagram(source, to, payload)

    net.send = send  # type: ignore[method-assign]
    net.run(60000)
    assert net.expected_members() == versions
    assert net.converged()


def test_dead_member_is_not_revived_and_is_removed() -> None:
    """Stale gossip must not bring a target back; memory stays bounded."""
    net = _converged_network(3)
    stopped = net.nodes.pop(BASE_PORT + 2).records.local
    net.run(15000)
    node = net.nodes[BASE_PORT]
    assert not node.members.merge(stopped)
    assert len(_serving(node)) == 2
    net.clock.advance(DEAD_RETENTION_MS)
    net.run(100)
    assert len(node.records) == 2
    assert not node.members.merge(replace(stopped, state=MemberState.DEAD))
