"""Rules of the network, the directory and the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.fuzz.estate import HOSTS
from savorystand.lab.fuzz.node import STORE_HOST
from savorystand.lab.fuzz.store import STORE_MODES

if TYPE_CHECKING:
    import random

    from savorystand.lab.fuzz.estate import Estate

_HELD_MS = 1500


def cut(estate: Estate, rng: random.Random) -> None:
    if estate.fabric.connections:
        connection = rng.choice(list(estate.fabric.connections))
        ends = sorted(estate.fabric.connections.pop(connection))
        estate.oracle.note(f'cut {ends}')
        connection.cut()


def silence(estate: Estate, rng: random.Random) -> None:
    if estate.fabric.connections:
        connection = rng.choice(list(estate.fabric.connections))
        connection.silence()


def part(estate: Estate, rng: random.Random) -> None:
    ends = rng.sample((*HOSTS, STORE_HOST), 2)
    estate.fabric.apart.add(frozenset(ends))


def delay(estate: Estate, rng: random.Random) -> None:
    pair = frozenset(rng.sample(HOSTS, 2))
    estate.oracle.note(f'delay {sorted(pair)}')
    estate.fabric.apart.add(pair)
    estate.tasks.start_soon(_heal_later, estate, pair, rng.random())


async def _heal_later(
    estate: Estate, pair: frozenset[str], share: float
) -> None:
    await anyio.sleep(share * _HELD_MS / MS_PER_SECOND)
    estate.fabric.apart.discard(pair)
    estate.fabric.changed()


def heal(estate: Estate, rng: random.Random) -> None:
    estate.fabric.apart.clear()
    estate.fabric.changed()
    for directory in estate.around.directories.values():
        directory.stale = False


def set_store(estate: Estate, rng: random.Random) -> None:
    mode = rng.choice((*STORE_MODES, 'up'))
    estate.store.mode = mode
    estate.oracle.note(f'store {mode}')


def suspect(estate: Estate, rng: random.Random) -> None:
    directory = estate.directory(rng.randrange(len(HOSTS)))
    other = rng.choice(estate.nodes)
    if directory is not None and other is not None:
        directory.suspect(other.node_id)
