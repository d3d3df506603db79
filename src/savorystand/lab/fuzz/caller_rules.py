"""Rules of callers and operators."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from savorystand.lab.fuzz.oracle import Operation

if TYPE_CHECKING:
    from savorystand.lab.fuzz.cluster import Cluster

_PATHS = (
    ('GET', '/lookup', True),
    ('GET', '/browse', True),
    ('POST', '/confirm', False),
    ('POST', '/confirm', False),
    ('POST', '/order', False),
)
_KEYS = ('own', 'own', 'issued', 'issued', 'none')
_NAMES = 1000000000000
# Retries mostly concern what was sent shortly before.
_RECENT = 8


def send(cluster: Cluster, rng: random.Random) -> None:
    method, path, idempotent = rng.choice(_PATHS)
    operation = Operation(
        name=f'op{rng.randrange(_NAMES)}',
        method=method,
        path=path,
        idempotent=idempotent,
    )
    live = [node for node in cluster.nodes if node is not None]
    match rng.choice(_KEYS):
        case 'own' if not idempotent:
            operation.key = f'own {operation.name}'
        case 'issued' if live and not idempotent:
            operation.key = rng.choice(live).issue()
    if live:
        cluster.callers.call(operation, rng.choice(live), rng)


def retry(cluster: Cluster, rng: random.Random) -> None:
    again = [
        operation
        for operation in cluster.oracle.operations.values()
        if not operation.idempotent
        and not operation.sending
        # Targets send theirs themselves, and once.
        and '.' not in operation.name
    ]
    live = [node for node in cluster.nodes if node is not None]
    if again and live:
        operation = rng.choice(again[-_RECENT:])
        cluster.callers.call(operation, rng.choice(live), rng)


def hang_up(cluster: Cluster, rng: random.Random) -> None:
    if cluster.callers.open:
        exchange = rng.choice(list(cluster.callers.open))
        name = cluster.callers.open[exchange].name
        cluster.oracle.note(f'hang up {name}')
        exchange.hang_up()


def edit(cluster: Cluster, rng: random.Random) -> None:
    for _ in range(rng.choice((1, 2))):
        child = random.Random(rng.random())
        cluster.tasks.start_soon(cluster.editing.edit, child)


def wait(cluster: Cluster, rng: random.Random) -> None:
    """Let time pass only; the caller of each rule does."""
