"""Membership and tables of whole nodes on the loopback interface.

Other tests run the protocol on a fake network. If it is not connected to
sockets, transport or kernel, nodes do not find each other or get no tables,
which only whole nodes show.
"""

from __future__ import annotations

import socket
from contextlib import AsyncExitStack
from contextlib import ExitStack
from contextlib import asynccontextmanager
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import pytest

from savorystand.clock import Clock
from savorystand.kernel.kernel import Kernel
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.member import MemberState
from savorystand.membership.membership import Membership
from savorystand.reporting.logs import EventLog
from savorystand.settings.node import Address
from savorystand.settings.node import NodeSettings
from savorystand.tables.document import TablesDocument
from savorystand.tables.follower import TablesFollower
from savorystand.tables.holder import TablesHolder
from savorystand.tables.tables import Tables
from savorystand.transport.network import Network
from savorystand.transport.peers import PeerTransport
from savorystand.trust.datagram_authenticator import DatagramAuthenticator

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.tables.route import Route

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'
UNUSED_ADDRESS = Address(host=HOST, port=1)


class NoCalls:
    """Inbound service for tests without calls."""

    def route(self, name: str) -> Route | None:
        raise NotImplementedError

    def load(self) -> TargetLoad:
        raise NotImplementedError

    async def serve(self, call: Call) -> Outcome:
        raise NotImplementedError


def free_addresses(count: int) -> list[Address]:
    """Return addresses whose ports are free for both TCP and UDP."""
    addresses: list[Address] = []
    with ExitStack() as held:
        while len(addresses) < count:
            tcp = held.enter_context(socket.socket())
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            udp = held.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            with suppress(OSError):
                udp.bind((HOST, port))
                addresses.append(Address(host=HOST, port=port))
    return addresses


def parse(document: TablesDocument) -> Tables:
    """Return tables without routes and pools."""
    return Tables(
        revision=document.revision,
        change_id=document.change_id,
        routes=(),
        pools=(),
    )


def build_kernel(
    name: str, address: Address, seeds: tuple[Address, ...]
) -> Kernel:
    """Return the kernel of a node without a target."""
    cfg = NodeSettings(
        failure_domain='d',
        region='r',
        callers=UNUSED_ADDRESS,
        local=UNUSED_ADDRESS,
        peers=address,
        target=UNUSED_ADDRESS,
        seeds=seeds,
        table_service='',
        object_store='',
        platform_key='',
        admin_key='',
    )
    kernel = Kernel()
    kernel.register('clock', Clock())
    kernel.register('network', Network())
    kernel.register('tables', TablesHolder())
    kernel.register('log', EventLog(clock=Clock(), node_id='aa'))
    kernel.register(
        'datagram authenticator', DatagramAuthenticator(admin_key='k')
    )
    kernel.register('confirmation', StoreConfirmation(clock=Clock()))
    membership = Membership(kernel=kernel, cfg=cfg, node_id=name)
    kernel.register('membership', membership)
    kernel.register('control', membership)
    kernel.register('inbound', NoCalls())
    transport = PeerTransport(
        kernel=kernel, host=address.host, port=address.port
    )
    kernel.register('transport', transport)
    follower = TablesFollower(kernel=kernel, parse=parse, source=None)
    kernel.register('follower', follower)
    return kernel


@asynccontextmanager
async def running(kernel: Kernel) -> AsyncIterator[Membership]:
    """Run a node until the block ends."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(kernel.run, stop)
        yield kernel.find('membership', Membership)
        stop.set()


def serving_counts(nodes: list[Membership]) -> set[int]:
    """Return the numbers of serving members that the nodes see."""
    return {len(node.serving('pool')) for node in nodes}


def revisions(kernels: list[Kernel]) -> set[int]:
    """Return the table revisions that the nodes use."""
    holders = [kernel.find('tables', TablesHolder) for kernel in kernels]
    return {holder.current().revision for holder in holders}


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after 20 seconds."""
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0.02)


async def test_nodes_join_leave_and_distribute_tables() -> None:
    """Protocol steps must be connected to sockets, transport and kernel.

    Tables of several frames reach a node that joins later, through gossip
    and a pull over TCP.
    """
    addresses = free_addresses(3)
    kernels = [
        build_kernel(str(number), address, (addresses[0],))
        for number, address in enumerate(addresses)
    ]
    document = TablesDocument(
        revision=3, change_id='c', routes='r' * 200000, pools='p'
    )
    async with AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(running(kernel))
            for kernel in kernels
        ]
        for node in nodes:
            node.announce('pool')
        await wait_until(lambda: serving_counts(nodes) == {3})
        kernels[0].find('follower', TablesFollower).install(document)
        await wait_until(lambda: revisions(kernels) == {3})
        nodes[2].leave()
        await wait_until(lambda: serving_counts(nodes) == {2})
        member = nodes[0].lookup('2')
        assert member is not None
        assert member.state is MemberState.LEAVING
        # Unused connections of anti-entropy must be closed.
        transport = kernels[1].find('transport', PeerTransport)
        transport.close_idle_connections(0)
        assert not transport._connections.values()  # noqa: SLF001  # no other view
