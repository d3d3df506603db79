"""Rules of nodes and targets that fail, pause and leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.fuzz.cluster import POOLS

if TYPE_CHECKING:
    import random

    from savorystand.lab.fuzz.cluster import Cluster

_REPLACED_SHARE = 0.7
_HEALED_SHARE = 0.5
_LOST_SHARE = 0.5


def crash_node(cluster: Cluster, rng: random.Random) -> None:
    slot = rng.randrange(len(POOLS))
    cluster.crash_node(slot)
    if rng.random() < _REPLACED_SHARE:
        cluster.start_node(slot)


def start_nodes(cluster: Cluster, rng: random.Random) -> None:
    for slot, _ in enumerate(POOLS):
        cluster.start_node(slot)


def crash_target(cluster: Cluster, rng: random.Random) -> None:
    target = rng.choice(cluster.targets)
    if target.up:
        target.crash()


def fail_targets(cluster: Cluster, rng: random.Random) -> None:
    pool = rng.choice(POOLS)
    for target in cluster.targets:
        target.failing = target.pool == pool


def return_target(cluster: Cluster, rng: random.Random) -> None:
    if rng.random() < _HEALED_SHARE:
        for failing in cluster.targets:
            failing.failing = False
    for slot, target in enumerate(cluster.targets):
        if not target.serves():
            cluster.return_target(slot)


def leave(cluster: Cluster, rng: random.Random) -> None:
    slot = rng.randrange(len(POOLS))
    cluster.leave(slot, lost=rng.random() < _LOST_SHARE)


def pause(cluster: Cluster, rng: random.Random) -> None:
    node = rng.choice(cluster.nodes)
    if node is not None:
        cluster.oracle.note(f'pause {node.node_id}')
        cluster.fabric.paused.add(node.host)


def resume(cluster: Cluster, rng: random.Random) -> None:
    cluster.fabric.paused.clear()
    cluster.fabric.changed()
