"""Guards against changes that are missed after a restore of the store.

A store that comes back from a copy gives row versions out again. It says so in
the header Store-Era, which may also be missing, unreadable or inconsistent.
"""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import final

import anyio
import pytest

from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.configuration import StoredConfiguration
from savorystand.platform.row_client import RowClient
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest
from savorystand.store.errors import HistoryLostError
from savorystand.store.rows import RowKey

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio
_CONFIG = RowKey(table='op', key='config')
_OTHER = RowKey(table='other', key='row')


@final
class _Store:
    def __init__(self, port: int) -> None:
        address = Address(host='127.0.0.1', port=port)
        self.connections = ServiceConnections(address=address, key='')
        self.rows = RowClient(connections=self.connections)
        self.configuration = StoredConfiguration(rows=self.rows)

    async def control(self, **changes: object) -> None:
        body = json.dumps(changes).encode()
        request = ServiceRequest(method='POST', path='/control', body=body)
        assert (await self.connections.send(request)).status == 200

    async def configure(self, revision: int) -> None:
        fields = {
            'version': format(revision, '08x'),
            'services': [],
            'virtualHosts': [],
        }
        await self.rows.write([(_CONFIG, json.dumps(fields).encode())])

    async def advance(self, writes: int) -> None:
        for _ in range(writes):
            await self.rows.write([(_OTHER, b'')])

    async def newest_revision(self) -> int:
        document, _ = await self.configuration.newest()
        assert document is not None
        return document.revision


@asynccontextmanager
async def _store() -> AsyncIterator[_Store]:
    listener = PlatformListener(app=platform_app(key=''))
    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        yield _Store(listener.port)
        tasks.cancel_scope.cancel()


# Guards against a reader that waits behind changes whose versions were given out
# a second time.
async def test_position_before_a_restore_is_refused_after_it() -> None:
    """The versions of the restored store have passed the reader's position."""
    async with _store() as store:
        await store.configure(1)
        await store.control(keep_copy=True)
        await store.configure(2)
        await store.advance(3)
        _, position = await store.configuration.newest()
        await store.control(restore=True)
        await store.configure(3)
        await store.advance(9)
        with pytest.raises(HistoryLostError):
            await store.configuration.changes(position, 0)
        assert await store.newest_revision() == 3


async def test_waiting_read_notices_a_restore() -> None:
    """A request that waits at the store when it is restored is answered."""
    async with _store() as store:
        await store.configure(1)
        await store.control(keep_copy=True)
        await store.configure(2)
        _, position = await store.configuration.newest()

        async def restore() -> None:
            await anyio.wait_all_tasks_blocked()
            await store.control(restore=True)
            await store.advance(1)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(restore)
            with pytest.raises(HistoryLostError):
                await store.configuration.changes(position, 30000)


# Guards against trust in a header that may be missing or wrong.
@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('3', '4'),
        ('4', '3'),
        ('3', ''),
        ('', '3'),
        ('3', 'x'),
        ('3', '-1'),
    ],
)
async def test_another_generation_refuses_the_position(
    before: str, after: str
) -> None:
    """Only the same generation confirms that versions are comparable."""
    async with _store() as store:
        await store.control(era=before)
        await store.configure(1)
        _, position = await store.configuration.newest()
        await store.control(era=after)
        with pytest.raises(HistoryLostError):
            await store.configuration.changes(position, 0)
        _, position = await store.configuration.newest()
        await store.configure(2)
        document, _ = await store.configuration.changes(position, 0)
        assert document is not None
        assert document.revision == 2


@pytest.mark.parametrize('era', ['', 'x', '-1', '1e3', '9' * 5000])
async def test_store_without_a_readable_generation_is_followed(
    era: str,
) -> None:
    """An older store names none; its changes are read as before."""
    async with _store() as store:
        await store.control(era=era)
        await store.configure(1)
        _, position = await store.configuration.newest()
        await store.configure(2)
        document, position = await store.configuration.changes(position, 0)
        assert document is not None
        assert document.revision == 2
        await store.control(keep_copy=True)
        await store.advance(2)
        _, position = await store.configuration.changes(position, 0)
        await store.control(restore=True)
        # The store is behind the position, which shows the restore.
        with pytest.raises(HistoryLostError):
            await store.configuration.changes(position, 0)
