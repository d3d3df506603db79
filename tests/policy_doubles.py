"""Helpers that build calls and members, and a fake member directory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio.lowlevel import checkpoint

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.departures.departures import Departures
from savorystand.dispatch.local_pool import LocalPool
from savorystand.gateway.target import TargetBinding
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.reporting.logs import EventLog
from savorystand.tables.route import Route
from savorystand.transport.address import PeerAddress

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel

# Above the longest chain of tasks that wake each other in the tests, which takes
# 4 checkpoints.
_CHECKPOINTS = 12


async def let_tasks_run() -> None:
    """Yield often enough for every task to reach its next wait."""
    for _ in range(_CHECKPOINTS):
        await checkpoint()


def make_binding(
    *, pool: str = 'refill', instance: str = 'i-1'
) -> TargetBinding:
    """Return the binding of a call to a target."""
    return TargetBinding(pool=pool, instance=instance)


def make_call(
    *,
    route: str = 'lookup',
    pool: str = 'refill',
    importance: Importance = Importance.NORMAL,
    idempotent: bool = True,
    deadline_ms: float = 10000,
    retries: int = 2,
    body: bytes = b'',
) -> Call:
    """Return a call with the given fields and defaults for the rest."""
    return Call(
        context=CallContext(
            request_id='r',
            execution_id='',
            deadline_ms=deadline_ms,
            retries_left=retries,
            importance=importance,
        ),
        route=Route(
            name=route,
            method='GET',
            path='/',
            pool=pool,
            importance=importance,
            idempotent=idempotent,
        ),
        method='GET',
        path='/',
        headers=(),
        body=body,
    )


def register_local_pool(kernel: Kernel) -> LocalPool:
    """Register the departures and the pool of the target of ``kernel``."""
    clock = kernel.find('clock', Clock)
    log = EventLog(clock=clock, node_id='node')
    kernel.register('departures', Departures(clock=clock, log=log))
    local_pool = LocalPool(kernel=kernel)
    kernel.register('local pool', local_pool)
    return local_pool


def make_member(
    node_id: str, *, domain: str = 'd', region: str = 'r'
) -> Member:
    """Return a member of pool ``refill`` in the state SERVING."""
    return Member(
        peer=PeerAddress(node_id=node_id, host='127.0.0.1', port=1),
        started_ms=0,
        version=1,
        state=MemberState.SERVING,
        failure_domain=domain,
        region=region,
        pool='refill',
    )


class FakeDirectory:
    """A member directory whose members are set by the test."""

    def __init__(self, members: list[Member], *, domain: str = 'own') -> None:
        """Create a directory that returns ``members`` for any pool.

        A test may replace or change them in ``listed``. The local member is in
        failure domain ``domain`` and region ``r``.
        """
        self.listed = members
        self._local_member = make_member('me', domain=domain)

    def local_member(self) -> Member:
        """Return the record of the local member."""
        return self._local_member

    def serving(self, pool: str) -> list[Member]:
        """Return all members, whatever their pool and state."""
        return list(self.listed)

    def lookup(self, node_id: str) -> Member | None:
        """Return the member with this id, or None."""
        by_id = {member.peer.node_id: member for member in self.listed}
        return by_id.get(node_id)

    def members(self) -> list[Member]:
        """Return all members."""
        return list(self.listed)

    def announce(self, pool: str) -> None:
        """Do nothing; the real directory announces that ``pool`` is served."""

    def leave(self) -> None:
        """Do nothing; the real directory announces the local target as leaving."""
