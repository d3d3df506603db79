"""Member lists must agree again after faults of network and processes.

Lost, late or reordered datagrams, paused or restarted processes and partitions
can leave a node with a member missing, a live member believed dead or a stopped
one that still gets calls.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from savorystand.membership.member import MemberState
from tests.membership.fake_network import BASE_PORT
from tests.membership.fake_network import FakeNetwork

NODE_COUNT = 7
PORTS = st.integers(BASE_PORT, BASE_PORT + NODE_COUNT - 1)
CONVERGENCE_TIMEOUT_MS = 20000


class ChurnMachine(RuleBasedStateMachine):
    """Applies random faults, then checks that all member lists agree.

    Guards against missing members, live members believed dead and stopped
    members that still get calls. The lists are compared with the records that
    the running processes have of themselves.
    """

    @initialize(seed=st.integers(0, 1000))
    def start_nodes(self, seed: int) -> None:
        self.net = FakeNetwork(rng=random.Random(seed))
        for port in range(BASE_PORT, BASE_PORT + NODE_COUNT):
            self.net.start(port)

    @rule(ms=st.sampled_from((50, 300, 1000, 4000, 9000)))
    def wait(self, ms: int) -> None:
        self.net.run(ms)

    @rule(loss=st.sampled_from((0, 0.1, 0.5)), delay_ms=st.integers(1, 800))
    def set_loss_and_delay(self, loss: float, delay_ms: int) -> None:
        self.net.loss = loss
        self.net.delay_ms = delay_ms

    @rule(ports=st.sets(PORTS))
    def partition(self, ports: set[int]) -> None:
        self.net.sides = dict.fromkeys(ports, 1)

    @rule(port=PORTS)
    def toggle_pause(self, port: int) -> None:
        node = self.net.nodes.get(port)
        if node is not None:
            node.paused = not node.paused

    @rule(port=PORTS, setback_ms=st.sampled_from((0, 0, 60000)))
    def restart(self, port: int, setback_ms: int) -> None:
        self.net.start(port, setback_ms=setback_ms)

    @rule(port=PORTS)
    def stop(self, port: int) -> None:
        if len(self.net.nodes) > 2:
            self.net.nodes.pop(port, None)

    @rule(port=PORTS, state=st.sampled_from(('SERVING', 'LEAVING')))
    def declare(self, port: int, state: str) -> None:
        node = self.net.nodes.get(port)
        if node is not None and not node.paused:
            node.members.declare(state=MemberState[state], pool='pool')
            node.swim.disseminate()

    @rule()
    def check_convergence(self) -> None:
        net = self.net
        net.loss = 0
        net.delay_ms = 20
        net.sides = {}
        for node in net.nodes.values():
            node.paused = False
        if not net.nodes.keys() & set(net.seeds):
            # Without a seed, nodes cannot find members that they never knew.
            net.start(net.seeds[0])
        net.run(CONVERGENCE_TIMEOUT_MS)
        expected = net.expected_members()
        for node in net.nodes.values():
            assert node.alive() == expected
            serving = {
                member.peer.node_id for member in node.records.serving('pool')
            }
            assert serving == {
                node_id
                for node_id, (_, state) in expected.items()
                if state is MemberState.SERVING
            }
            assert node.swim.malformed == 0

    def teardown(self) -> None:
        if hasattr(self, 'net'):
            self.check_convergence()


TestChurn = ChurnMachine.TestCase
TestChurn.settings = settings(max_examples=40, stateful_step_count=20)


@pytest.mark.parametrize('seed', range(4))
def test_healed_partition_converges_within_5_seconds(seed: int) -> None:
    """Sides that believe each other dead must find each other by probes.

    A member list that accepts the deaths that the other side reports would
    empty the pool of its own side.
    """
    net = FakeNetwork(rng=random.Random(seed))
    ports = range(BASE_PORT, BASE_PORT + 24)
    for port in ports:
        net.start(port)
    net.run(15000)
    assert net.converged()
    net.sides = {side: side % 6 // 3 for side in ports}
    net.run(30000)
    assert all(len(node.alive()) == 12 for node in net.nodes.values())
    net.sides = {}
    for _ in range(100):
        net.run(50)
        # No side may accept the other's report that its members are dead.
        assert all(
            len(node.records.serving('pool')) >= 12
            for node in net.nodes.values()
        )
    assert net.converged()


# Guards against regions that learn of each other's members too late, since
# datagrams between them carry few updates.
def test_members_of_all_regions_are_known_within_seconds() -> None:
    """All nodes start at once; then some of each region are replaced."""
    net = FakeNetwork(rng=random.Random(6), regions=3, delay_ms=20)
    for number in range(45):
        net.start(BASE_PORT + number)
    net.run(6000)
    assert net.converged()
    for number in range(0, 45, 7):
        net.start(BASE_PORT + number)
    net.run(6000)
    assert net.converged()
