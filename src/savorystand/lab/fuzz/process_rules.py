"""Rules of nodes and targets that fail, pause and leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.lab.fuzz.estate import POOLS

if TYPE_CHECKING:
    import random

    from savorystand.lab.fuzz.estate import Estate

_REPLACED_SHARE = 0.7
_HEALED_SHARE = 0.5
_LOST_SHARE = 0.5


def crash_node(estate: Estate, rng: random.Random) -> None:
    slot = rng.randrange(len(POOLS))
    estate.crash_node(slot)
    if rng.random() < _REPLACED_SHARE:
        estate.start_node(slot)


def start_nodes(estate: Estate, rng: random.Random) -> None:
    for slot, _ in enumerate(POOLS):
        estate.start_node(slot)


def crash_target(estate: Estate, rng: random.Random) -> None:
    target = rng.choice(estate.targets)
    if target.up:
        target.crash()


def fail_targets(estate: Estate, rng: random.Random) -> None:
    pool = rng.choice(POOLS)
    for target in estate.targets:
        target.failing = target.pool == pool


def return_target(estate: Estate, rng: random.Random) -> None:
    if rng.random() < _HEALED_SHARE:
        for failing in estate.targets:
            failing.failing = False
    for slot, target in enumerate(estate.targets):
        if not target.serves():
            estate.return_target(slot)


def leave(estate: Estate, rng: random.Random) -> None:
    slot = rng.randrange(len(POOLS))
    estate.leave(slot, lost=rng.random() < _LOST_SHARE)


def pause(estate: Estate, rng: random.Random) -> None:
    node = rng.choice(estate.nodes)
    if node is not None:
        estate.oracle.note(f'pause {node.node_id}')
        estate.fabric.paused.add(node.host)


def resume(estate: Estate, rng: random.Random) -> None:
    estate.fabric.paused.clear()
    estate.fabric.changed()
