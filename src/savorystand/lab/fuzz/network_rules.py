"""Rules of the network, the directory and the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.fuzz.cluster import HOSTS
from savorystand.lab.fuzz.node import STORE_HOST
from savorystand.lab.fuzz.store import STORE_MODES

if TYPE_CHECKING:
    import random

    from savorystand.lab.fuzz.cluster import Cluster

_HELD_MS = 1500


def cut(cluster: Cluster, rng: random.Random) -> None:
    if cluster.fabric.connections:
        connection = rng.choice(list(cluster.fabric.connections))
        ends = sorted(cluster.fabric.connections.pop(connection))
        cluster.oracle.note(f'cut {ends}')
        connection.cut()


def silence(cluster: Cluster, rng: random.Random) -> None:
    if cluster.fabric.connections:
        connection = rng.choice(list(cluster.fabric.connections))
        connection.silence()


def part(cluster: Cluster, rng: random.Random) -> None:
    ends = rng.sample((*HOSTS, STORE_HOST), 2)
    cluster.fabric.apart.add(frozenset(ends))


def delay(cluster: Cluster, rng: random.Random) -> None:
    pair = frozenset(rng.sample(HOSTS, 2))
    cluster.oracle.note(f'delay {sorted(pair)}')
    cluster.fabric.apart.add(pair)
    cluster.tasks.start_soon(_heal_later, cluster, pair, rng.random())


async def _heal_later(
    cluster: Cluster, pair: frozenset[str], share: float
) -> None:
    await anyio.sleep(share * _HELD_MS / MS_PER_SECOND)
    cluster.fabric.apart.discard(pair)
    cluster.fabric.changed()


def heal(cluster: Cluster, rng: random.Random) -> None:
    cluster.fabric.apart.clear()
    cluster.fabric.changed()
    for directory in cluster.around.directories.values():
        directory.stale = False


def set_store(cluster: Cluster, rng: random.Random) -> None:
    mode = rng.choice((*STORE_MODES, 'up'))
    cluster.store.mode = mode
    cluster.oracle.note(f'store {mode}')


def suspect(cluster: Cluster, rng: random.Random) -> None:
    directory = cluster.directory(rng.randrange(len(HOSTS)))
    other = rng.choice(cluster.nodes)
    if directory is not None and other is not None:
        directory.suspect(other.node_id)
