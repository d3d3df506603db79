"""Tests the store clients over real HTTP against the lab's platform.

A client that takes a lost response for a refusal, or the reverse, makes callers
repeat a write that took effect or drop one that did not.
"""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.object_store import ObjectStore
from savorystand.platform.table_store import TableStore
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.errors import ConditionFailedError
from savorystand.store.errors import StoreError
from savorystand.store.errors import StoreUnavailableError
from savorystand.store.errors import StoreUnknownError
from savorystand.store.items import Absent
from savorystand.store.items import Put
from savorystand.tables.editor import TablesEditor
from savorystand.tables.edits import EditConflictError
from savorystand.tables.repository import TablesRepository
from savorystand.tables.rows import MAX_TEXT_BYTES
from savorystand.tables.snapshot import TablesSnapshot

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

pytestmark = pytest.mark.anyio
_KEY = 'secret'


class _Service:
    def __init__(self, port: int) -> None:
        self.address = Address(host='127.0.0.1', port=port)
        self.connections = self.connect(_KEY)

    def connect(self, key: str, timeout_ms: float = 1500) -> ServiceConnections:
        return ServiceConnections(
            address=self.address,
            key=key,
            timeout_ms=timeout_ms,
        )

    async def control(self, **changes: object) -> dict[str, dict[str, int]]:
        request = ServiceRequest(
            method='POST',
            path='/control',
            body=json.dumps(changes).encode(),
        )
        response = await self.connections.send(request)
        assert response.status == 200
        return json.loads(response.body)


class _ResponseLosingStore(TableStore):
    def __init__(self, service: _Service) -> None:
        super().__init__(connections=service.connections)
        self.service = service
        self.lose_next_response = False

    async def transact(self, puts: Sequence[Put], token: str) -> None:
        if self.lose_next_response:
            self.lose_next_response = False
            await self.service.control(lose_next=1)
        await super().transact(puts, token)


@asynccontextmanager
async def _service() -> AsyncIterator[_Service]:
    listener = PlatformListener(app=platform_app(key=_KEY))
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        yield _Service(listener.port)
        tasks.cancel_scope.cancel()


def _put(item_id: str) -> Put:
    return Put(id=item_id, attributes={'n': 5, 's': 'ü'}, condition=Absent())


async def test_faults_are_classified_by_effect() -> None:
    """Each fault is reported as "no effect" or "unknown effect" correctly."""
    async with _service() as service:
        store = TableStore(connections=service.connections)
        await store.transact((_put('a'), _put('b')), 'one')
        await store.transact((_put('a'), _put('b')), 'one')
        assert await store.get('a') == {'n': 5, 's': 'ü'}
        with pytest.raises(ConditionFailedError) as caught:
            await store.transact((_put('c'), _put('b')), 'two')
        assert caught.value.failed == (1,)
        with pytest.raises(ConditionFailedError):
            await store.put(_put('a'))
        await service.control(lose_next=1)
        with pytest.raises(StoreUnknownError):
            await store.put(_put('lost'))
        found = await store.get_many(('lost', 'c'))
        assert found == {'lost': {'n': 5, 's': 'ü'}, 'c': None}
        await service.control(lose_next=1, late_ms=20)
        with pytest.raises(StoreUnknownError):
            await store.put(_put('late'))
        with anyio.fail_after(30):
            while await store.get('late') is None:
                await anyio.sleep(0.01)
        await service.control(writes_limit=1)
        with pytest.raises(StoreUnavailableError):
            # The limit counts requests, not rows.
            for token in ('three', 'four', 'five'):
                await store.transact((_put('d'), _put('e')), token)
        await service.control(writes_limit=0, outage='silent')
        short_timeout_store = TableStore(connections=service.connect(_KEY, 50))
        with pytest.raises(StoreUnknownError):
            await short_timeout_store.put(_put('f'))
        with pytest.raises(StoreUnavailableError):
            await short_timeout_store.get('f')
        await service.control(outage='close')
        with pytest.raises(StoreUnknownError):
            await store.put(_put('f'))
        # With status 503 the store has not executed the request.
        await service.control(outage='error')
        with pytest.raises(StoreUnavailableError):
            await store.put(_put('f'))
        counted = await service.control(outage='none')
        assert counted['writes']['total'] >= 6
        assert await store.get('f') is None
        other_key_store = TableStore(connections=service.connect('other'))
        with pytest.raises(StoreError) as refused:
            await other_key_store.put(_put('g'))
        assert not isinstance(refused.value, StoreUnknownError)
    with pytest.raises(StoreUnavailableError):
        await store.put(_put('h'))


async def test_silent_connections_fail_one_operation() -> None:
    """Silent idle connections fail one operation, not one operation each."""
    async with _service() as service:
        store = TableStore(connections=service.connect(_KEY))
        await service.control(latency_ms=20)
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(store.put, _put(f'row{number}'))
        await service.control(silence_open=True)
        with pytest.raises(StoreUnknownError):
            await store.put(_put('lost'))
        await store.put(_put('found'))
        assert await store.get('lost') is None


async def test_edits_and_snapshot() -> None:
    """The editor recovers from a lost response and updates the snapshot."""
    async with _service() as service:
        bucket = ObjectStore(connections=service.connections)
        snapshot = TablesSnapshot(bucket=bucket)
        store = _ResponseLosingStore(service)
        editor = TablesEditor(
            repository=TablesRepository(store=store),
            snapshot=snapshot,
            clock=Clock(),
        )
        assert await snapshot.read() is None
        # The largest texts must fit in one item.
        longest_text = '# é\n# '.ljust(MAX_TEXT_BYTES - 1, '"')
        await editor.apply(longest_text, longest_text, 0)
        store.lose_next_response = True
        second = await editor.apply('', '# second', 1)
        assert not store.lose_next_response
        assert not second.warning
        with pytest.raises(EditConflictError) as caught:
            await editor.apply('', '# mine', 1)
        assert caught.value.ours.pools == '# mine'
        assert caught.value.theirs is not None
        assert caught.value.theirs == second.document
        assert await snapshot.read() == caught.value.theirs
