"""Rules for callers, and for operators who change the tables."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from savorystand.lab.fuzz.oracle import Operation

if TYPE_CHECKING:
    from savorystand.lab.fuzz.cluster import Cluster

_ENDPOINTS = (
    ('GET', '/lookup', True),
    ('GET', '/browse', True),
    ('POST', '/confirm', False),
    ('POST', '/confirm', False),
    ('POST', '/order', False),
)
_KEY_KINDS = ('own', 'own', 'issued', 'issued', 'none')
_OPERATION_NUMBER_LIMIT = 1000000000000
# Callers usually retry an operation shortly after they sent it.
_RECENT_OPERATIONS = 8


def send_operation(cluster: Cluster, rng: random.Random) -> None:
    method, path, idempotent = rng.choice(_ENDPOINTS)
    operation = Operation(
        name=f'op{rng.randrange(_OPERATION_NUMBER_LIMIT)}',
        method=method,
        path=path,
        idempotent=idempotent,
    )
    live = [node for node in cluster.nodes if node is not None]
    match rng.choice(_KEY_KINDS):
        case 'own' if not idempotent:
            operation.key = f'own {operation.name}'
        case 'issued' if live and not idempotent:
            operation.key = rng.choice(live).issue_key()
    if live:
        cluster.callers.call(operation, rng.choice(live), rng)


def retry_operation(cluster: Cluster, rng: random.Random) -> None:
    candidates = [
        operation
        for operation in cluster.oracle.operations.values()
        if not operation.idempotent
        and not operation.in_progress
        # A dot marks a target's downstream operation, which is sent once.
        and '.' not in operation.name
    ]
    live = [node for node in cluster.nodes if node is not None]
    if candidates and live:
        operation = rng.choice(candidates[-_RECENT_OPERATIONS:])
        cluster.callers.call(operation, rng.choice(live), rng)


def disconnect_caller(cluster: Cluster, rng: random.Random) -> None:
    if cluster.callers.pending:
        exchange = rng.choice(list(cluster.callers.pending))
        name = cluster.callers.pending[exchange].name
        cluster.oracle.add_trace(f'hang up {name}')
        exchange.disconnect()


def edit_tables(cluster: Cluster, rng: random.Random) -> None:
    for _ in range(rng.choice((1, 2))):
        edit_rng = random.Random(rng.random())
        cluster.tasks.start_soon(cluster.edits.edit, edit_rng)


def wait(cluster: Cluster, rng: random.Random) -> None:
    """Do nothing; ``execute_step`` sleeps after each rule."""
