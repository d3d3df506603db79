"""Load on the table service, and CPU time of claiming and issuing keys."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

import anyio

from savorystand.clock import Clock
from savorystand.clock import ManualClock
from savorystand.deduplication.keys import KeyIssuer
from savorystand.deduplication.keys import parse_issued
from savorystand.deduplication.table_claims import TableClaims
from savorystand.lab.membership_driver import sample_member
from savorystand.lab.slopes.fit import Slope
from savorystand.lab.slopes.fit import fit
from savorystand.lab.slopes.measuring import cpu_us
from savorystand.lab.slopes.processor import MemberListDirectory
from savorystand.lab.slopes.samples import sample_tables
from savorystand.membership.member_list import MemberList
from savorystand.tables.editor import TablesEditor
from savorystand.tables.platform_reader import READ_INTERVAL_MS
from savorystand.tables.readers import is_reader
from savorystand.tables.repository import TablesRepository

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorystand.lab.slopes.fit import Point
    from savorystand.store.items import Attributes
    from savorystand.store.items import Put

_MS_PER_SECOND = 1000
_US_PER_SECOND = 1000000
_NODES_PER_DOMAIN = 12
_KEY_COUNTS = (50, 100, 250, 500)
_SERVICES = 10


def store_slopes() -> list[Slope]:
    """Return the slopes of the table service's load and of keys."""
    # The first claims also fill caches, which must not count.
    anyio.run(_claim_keys, _KEY_COUNTS[0])
    claims = [(count, anyio.run(_claim_keys, count)) for count in _KEY_COUNTS]
    edits = [(count, anyio.run(_apply_edits, count)) for count in (1, 2, 4, 8)]
    return [
        fit(
            'store-reads', 'reads a second', 'failure domain', _reader_points()
        ),
        fit(
            'store-claim-rows',
            'rows written',
            'own key',
            [(count, store.rows) for count, (store, _) in claims],
        ),
        fit(
            'store-claim-transactions',
            'transactions',
            'own key, all at once',
            [(count, store.transactions) for count, (store, _) in claims],
        ),
        fit(
            'cpu-claim',
            'us',
            'own key',
            [(count, spent_us) for count, (_, spent_us) in claims],
        ),
        fit('cpu-issued-key', 'us', 'issued key', _issued_key_points()),
        fit(
            'store-edit-rows',
            'rows written',
            'table change',
            [(count, store.rows) for count, store in edits],
        ),
        fit(
            'store-edit-reads',
            'reads',
            'table change',
            [(count, store.reads) for count, store in edits],
        ),
    ]


class CountingStore:
    """Store in memory that accepts every write and counts operations."""

    __slots__ = ('_stored', 'reads', 'rows', 'transactions')

    def __init__(self) -> None:
        """Create an empty store with counters at 0."""
        self._stored: dict[str, Attributes] = {}
        self.reads = 0
        self.rows = 0
        self.transactions = 0

    async def get(self, item_id: str) -> Attributes | None:
        """Return the attributes of an item, or None."""
        await anyio.sleep(0)
        self.reads += 1
        return self._stored.get(item_id)

    async def get_many(
        self, item_ids: Sequence[str]
    ) -> dict[str, Attributes | None]:
        """Return the attributes of items by id, None for absent ones."""
        await anyio.sleep(0)
        self.reads += len(item_ids)
        return {item_id: self._stored.get(item_id) for item_id in item_ids}

    async def put(self, put: Put) -> None:
        """Write one item in a transaction of its own."""
        await self.transact((put,), '')

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        """Write items without a check of their conditions.

        The measured operations never violate one.
        """
        await anyio.sleep(0)
        self.transactions += 1
        self.rows += len(puts)
        for put in puts:
            self._stored[put.id] = put.attributes


def _reader_points() -> Sequence[Point]:
    points = []
    for domains in (1, 3, 5, 7):
        members = [
            sample_member(number)
            for number in range(7 * _NODES_PER_DOMAIN)
            if number % 7 < domains
        ]
        readers = 0
        for local_member in members:
            member_list = MemberList(clock=ManualClock(), local=local_member)
            for member in members:
                member_list.merge(member)
            readers += is_reader(MemberListDirectory(members=member_list))
        points.append((domains, readers * _MS_PER_SECOND / READ_INTERVAL_MS))
    return points


async def _claim_keys(count: int) -> tuple[CountingStore, float]:
    store = CountingStore()
    claims = TableClaims(store=store, clock=Clock(), node_id='0123456789abcdef')
    async with anyio.create_task_group() as tasks:
        await tasks.start(_run_claims, claims)
        begin_s = time.process_time()
        async with anyio.create_task_group() as callers:
            for number in range(count):
                callers.start_soon(claims.claim, f'own-{number}', 'attempt')
        spent_seconds = time.process_time() - begin_s
        tasks.cancel_scope.cancel()
    return store, spent_seconds * _US_PER_SECOND


async def _run_claims(
    claims: TableClaims, *, task_status: anyio.abc.TaskStatus[None]
) -> None:
    await claims.run(task_status=task_status)


def _issued_key_points() -> Sequence[Point]:
    issuer = KeyIssuer(node_id='0123456789abcdef')
    return [
        (count, cpu_us(partial(_verify_issued_keys, issuer, count)))
        for count in _KEY_COUNTS
    ]


def _verify_issued_keys(issuer: KeyIssuer, count: int) -> None:
    for _ in range(count):
        key = parse_issued(issuer.issue())
        if key is None or not issuer.verify(key):
            raise ValueError(
                'issued key was rejected by its issuer, expected a valid key'
            )


async def _apply_edits(count: int) -> CountingStore:
    store = CountingStore()
    editor = TablesEditor(
        repository=TablesRepository(store=store),
        snapshot=None,
        clock=Clock(),
    )
    for revision in range(count):
        tables = sample_tables(_SERVICES + revision)
        await editor.apply(tables.routes, tables.pools, revision)
    return store
