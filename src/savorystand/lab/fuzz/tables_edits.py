"""Concurrent edits of the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from savorystand.lab.fuzz.store import StoreClient
from savorystand.store.errors import StoreError
from savorystand.tables.editor import TablesEditor
from savorystand.tables.edits import EditError
from savorystand.tables.repository import TablesRepository

if TYPE_CHECKING:
    import random

    from savorystand.clock import Clock
    from savorystand.lab.fuzz.oracle import Oracle
    from savorystand.lab.fuzz.store import MemoryStore

_ROUTES = (
    ('lookup', 'GET /lookup', 'back', 'normal', 'true'),
    ('browse', 'GET /browse', 'front', 'low', 'true'),
    ('confirm', 'POST /confirm', 'back', 'critical', 'false'),
    ('order', 'POST /order', 'front', 'high', 'false'),
)

# Probability that an edit is based on the revision before the newest one.
_STALE_EDIT_PROBABILITY = 0.1


@final
class TablesEdits:
    """Edits the tables, based on the newest revision or the one before."""

    def __init__(
        self, *, store: MemoryStore, oracle: Oracle, clock: Clock
    ) -> None:
        """Edit the tables in ``store``; report accepted edits to ``oracle``."""
        client = StoreClient(store=store, is_reachable=lambda: True)
        self._repository = TablesRepository(store=client)
        self._oracle = oracle
        self._clock = clock

    async def edit(self, rng: random.Random) -> None:
        """Apply an edit with a random number of slots for each pool."""
        editor = TablesEditor(
            repository=self._repository,
            snapshot=None,
            clock=self._clock,
            new_id=lambda: f'change-{rng.randrange(1 << 60)}',
        )
        try:
            based_on = await self._repository.head_revision()
            accepted = await editor.apply(
                _routes(),
                _pools(rng),
                max(0, based_on - (rng.random() < _STALE_EDIT_PROBABILITY)),
            )
        except (EditError, StoreError) as exc:
            self._oracle.add_trace(f'edit failed: {type(exc).__name__}')
            return
        document = accepted.document
        self._oracle.record_edit(document.revision, document.change_id)


def _routes() -> str:
    return '\n'.join(
        f'[[route]]\nname = "{name}"\nmatch = "{match}"\npool = "{pool}"\n'
        f'importance = "{importance}"\nidempotent = {idempotent}'
        for name, match, pool, importance, idempotent in _ROUTES
    )


def _pools(rng: random.Random) -> str:
    return '\n'.join(
        f'[[pool]]\nname = "{name}"\nslots = {rng.choice((1, 2, 8))}\n'
        'connections = 20'
        for name in ('front', 'back')
    )
