"""Guards against a key that two nodes claim, as a restore dropped the first claim."""

from __future__ import annotations

import json

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.deduplication.claims import Claimed
from savorystand.deduplication.table_claims import TableClaims
from savorystand.lab.platform.application import platform_app
from savorystand.lab.platform.listener import PlatformListener
from savorystand.platform.table_store import TableStore
from savorystand.settings.node import Address
from savorystand.store.connections import ServiceConnections
from savorystand.store.connections import ServiceRequest

pytestmark = pytest.mark.anyio


async def test_key_is_claimed_once_although_the_store_is_restored() -> None:
    """The first node may have run the request with that key."""
    listener = PlatformListener(app=platform_app(key=''))
    address = Address(host='127.0.0.1', port=listener.port)
    connections = ServiceConnections(address=address, key='')

    async def control(command: str) -> None:
        body = json.dumps({command: True}).encode()
        request = ServiceRequest(method='POST', path='/control', body=body)
        assert (await connections.send(request)).status == 200

    async with anyio.create_task_group() as tasks:
        await tasks.start(listener.run)
        nodes = [
            TableClaims(
                store=TableStore(connections=connections),
                clock=Clock(),
                node_id=node_id,
            )
            for node_id in ('a', 'b')
        ]
        for node in nodes:
            await tasks.start(node.run)
        await control('keep_copy')
        claims = [await nodes[0].claim('key', 'attempt-1')]
        await control('restore')
        claims.append(await nodes[1].claim('key', 'attempt-2'))
        tasks.cancel_scope.cancel()
    assert sum(isinstance(claim, Claimed) for claim in claims) == 1
