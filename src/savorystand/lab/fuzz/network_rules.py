"""Rules that inject faults into the network, membership and the store."""

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

_MAX_TRAFFIC_DELAY_MS = 1500


def cut_connection(cluster: Cluster, rng: random.Random) -> None:
    if cluster.fabric.connections:
        connection = rng.choice(list(cluster.fabric.connections))
        hosts = sorted(cluster.fabric.connections.pop(connection))
        cluster.oracle.add_trace(f'cut {hosts}')
        connection.cut()


def silence_connection(cluster: Cluster, rng: random.Random) -> None:
    if cluster.fabric.connections:
        connection = rng.choice(list(cluster.fabric.connections))
        connection.silence()


def partition_hosts(cluster: Cluster, rng: random.Random) -> None:
    hosts = rng.sample((*HOSTS, STORE_HOST), 2)
    cluster.fabric.partitioned.add(frozenset(hosts))


def delay_traffic(cluster: Cluster, rng: random.Random) -> None:
    hosts = frozenset(rng.sample(HOSTS, 2))
    cluster.oracle.add_trace(f'delay {sorted(hosts)}')
    cluster.fabric.partitioned.add(hosts)
    cluster.tasks.start_soon(_heal_later, cluster, hosts, rng.random())


async def _heal_later(
    cluster: Cluster, hosts: frozenset[str], fraction: float
) -> None:
    await anyio.sleep(fraction * _MAX_TRAFFIC_DELAY_MS / MS_PER_SECOND)
    cluster.fabric.partitioned.discard(hosts)
    cluster.fabric.wake_receivers()


def heal_network(cluster: Cluster, rng: random.Random) -> None:
    cluster.fabric.partitioned.clear()
    cluster.fabric.wake_receivers()
    for directory in cluster.env.directories.values():
        directory.ignores_updates = False


def set_store_mode(cluster: Cluster, rng: random.Random) -> None:
    mode = rng.choice((*STORE_MODES, 'up'))
    cluster.store.mode = mode
    cluster.oracle.add_trace(f'store {mode}')


def suspect_member(cluster: Cluster, rng: random.Random) -> None:
    directory = cluster.directory(rng.randrange(len(HOSTS)))
    suspected = rng.choice(cluster.nodes)
    if directory is not None and suspected is not None:
        directory.suspect(suspected.node_id)
