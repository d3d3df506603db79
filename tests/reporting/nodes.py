"""Runs a node with a fixed set of members, for tests over HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from savorystand.call import Importance
from savorystand.deduplication.claims import NoClaims
from savorystand.node.builder import build_node
from savorystand.settings.node import Address
from savorystand.settings.node import NodeSettings
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.route import Route
from savorystand.tables.tables import Tables
from tests.ports import free_port
from tests.reporting.builders import member_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorystand.membership.member import Member
    from savorystand.transport.address import PeerAddress
    from savorystand.wire.codec import Message

ADMIN_KEY = 'k1'


class StaticDirectory:
    """Directory of given members; the first one is the local member."""

    def __init__(self, *members: Member) -> None:
        self._members = members

    def local_member(self) -> Member:
        return self._members[0]

    def serving(self, pool: str) -> list[Member]:
        return [self._members[0]]

    def lookup(self, node_id: str) -> Member | None:
        found = (
            member for member in self._members if member.peer.node_id == node_id
        )
        return next(found, None)

    def members(self) -> tuple[Member, ...]:
        return self._members

    def observe_failure(self, peer: PeerAddress) -> None:
        """Do nothing."""

    def announce(self, pool: str) -> None:
        raise NotImplementedError

    def leave(self) -> None:
        """Do nothing; there are no other nodes to notify."""


class NoControl:
    """Ignores control frames."""

    def answer(self, frame: Message) -> Message | None:
        """Return no response."""


def free_address() -> Address:
    """Return a loopback address whose port was free when checked."""
    return Address(host='127.0.0.1', port=free_port())


@asynccontextmanager
async def running_node(
    node_id: str, *others: Member, statsd: Address | None = None
) -> AsyncIterator[str]:
    """Run a node without a target; yield its address for callers.

    ``others`` are members of its directory besides the node itself.
    """
    cfg = NodeSettings(
        failure_domain='Lau-1',
        region='Lau',
        callers=free_address(),
        local=free_address(),
        peers=free_address(),
        target=free_address(),
        seeds=(),
        table_service='http://127.0.0.1:1',
        object_store='http://127.0.0.1:1',
        platform_key='',
        admin_key=ADMIN_KEY,
        statsd=statsd,
    )
    kernel = build_node(
        cfg,
        node_id=node_id,
        replace={
            'membership': lambda _: StaticDirectory(
                member_of(node_id), *others
            ),
            'control': lambda _: NoControl(),
            'claims': lambda _: NoClaims(),
            'follower': lambda _: None,
        },
    )
    route = Route(
        name='lookup',
        method='GET',
        path='/lookup',
        pool='refill',
        importance=Importance.HIGH,
        idempotent=True,
    )
    kernel.find('tables', TablesHolder).install(
        Tables(
            revision=7,
            change_id='c',
            routes=(route,),
            pools=(Pool(name='refill', slots=2, connections=9),),
        )
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(kernel.run, stop)
        yield cfg.callers.text()
        stop.set()
        # uvicorn may wait for idle connections of the test's client.
        tasks.cancel_scope.cancel()
