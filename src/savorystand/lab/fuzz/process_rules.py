"""Rules that crash, pause, fail and restart nodes and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.fuzz.cluster import POOLS

if TYPE_CHECKING:
    import random

    from savorystand.lab.fuzz.cluster import Cluster

_RESTART_PROBABILITY = 0.7
_REPAIR_PROBABILITY = 0.5
_HIDDEN_LEAVE_PROBABILITY = 0.5


def crash_node(cluster: Cluster, rng: random.Random) -> None:
    slot = rng.randrange(len(POOLS))
    cluster.crash_node(slot)
    if rng.random() < _RESTART_PROBABILITY:
        cluster.start_node(slot)


def start_nodes(cluster: Cluster, rng: random.Random) -> None:
    for slot, _ in enumerate(POOLS):
        cluster.start_node(slot)


def crash_target(cluster: Cluster, rng: random.Random) -> None:
    target = rng.choice(cluster.targets)
    if target.running:
        target.crash()


def fail_targets(cluster: Cluster, rng: random.Random) -> None:
    pool = rng.choice(POOLS)
    for target in cluster.targets:
        target.failing = target.pool == pool


def restart_targets(cluster: Cluster, rng: random.Random) -> None:
    if rng.random() < _REPAIR_PROBABILITY:
        for repaired in cluster.targets:
            repaired.failing = False
    for slot, target in enumerate(cluster.targets):
        if not target.is_serving():
            cluster.restart_target(slot)


def leave_target(cluster: Cluster, rng: random.Random) -> None:
    slot = rng.randrange(len(POOLS))
    cluster.leave_target(
        slot, hidden_from_peers=rng.random() < _HIDDEN_LEAVE_PROBABILITY
    )


def pause_node(cluster: Cluster, rng: random.Random) -> None:
    node = rng.choice(cluster.nodes)
    if node is not None:
        cluster.oracle.add_trace(f'pause {node.node_id}')
        cluster.fabric.paused_hosts.add(node.host)


def resume_nodes(cluster: Cluster, rng: random.Random) -> None:
    cluster.fabric.paused_hosts.clear()
    cluster.fabric.wake_receivers()
