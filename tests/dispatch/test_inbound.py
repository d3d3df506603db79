"""Guards against wrong decisions on calls by nodes with different knowledge.

An address may be reassigned to a target of another pool while peers still send
calls to it; such a call must not run there. A peer may also have a newer
revision of the tables and send calls on routes that this node does not know;
these must be served, but not as idempotent.
"""

from __future__ import annotations

import pytest

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.rate_limit import RateLimit
from savorystand.clock import ManualClock
from savorystand.dispatch.inbound import Inbound
from savorystand.dispatch.local_pool import LocalPool
from savorystand.kernel.kernel import Kernel
from savorystand.retry.executions import ExecutionRegistry
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.tables.holder import TablesHolder
from savorystand.tables.pool import Pool
from savorystand.tables.tables import Tables
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import FakeDirectory
from tests.policy_doubles import make_call
from tests.policy_doubles import make_member
from tests.policy_doubles import register_local_pool


def _kernel() -> Kernel:
    kernel = Kernel()
    clock = ManualClock()
    kernel.register('clock', clock)
    kernel.register('tables', TablesHolder())
    kernel.register('executions', ExecutionRegistry())
    kernel.register('admission', AdmissionQueue(clock=clock))
    kernel.register('rate limit', RateLimit(clock=clock))
    register_local_pool(kernel)
    kernel.register('downstream overload', DownstreamOverload(clock=clock))
    kernel.register('membership', FakeDirectory([make_member('local')]))
    return kernel


@pytest.mark.anyio
async def test_call_for_another_pool_is_refused() -> None:
    """A call to an address that another pool now uses must not run.

    ``DRAINING`` makes the sender avoid this target and try another one, as for
    a target that leaves the pool.
    """
    kernel = _kernel()
    kernel.find('local pool', LocalPool).announce('billing', slots=4)
    outcome = await Inbound(kernel=kernel).serve(make_call(pool='refill'))
    assert isinstance(outcome.error, NotRun)
    assert outcome.error.reason is Reason.DRAINING


# Guards against a call that runs at a target of another pool, as that has begun
# to leave or cannot be reached (review/5).
@pytest.mark.anyio
@pytest.mark.parametrize('away', ['leave', 'record_unreachable'])
async def test_call_for_another_pool_is_refused_by_a_leaving_target(
    away: str,
) -> None:
    """Calls for its own pool may still start for a moment."""
    kernel = _kernel()
    local_pool = kernel.find('local pool', LocalPool)
    pool = Pool(name='billing', slots=4, connections=4)
    kernel.find('tables', TablesHolder).install(
        Tables(revision=1, change_id='', routes=(), pools=(pool,))
    )
    local_pool.announce('billing', slots=4)
    for _ in range(3):
        getattr(local_pool, away)()
    assert kernel.find('admission', AdmissionQueue).accepts_new_work()
    outcome = await Inbound(kernel=kernel).serve(make_call(pool='refill'))
    assert isinstance(outcome.error, NotRun)
    assert outcome.error.reason is Reason.DRAINING


def test_route_of_a_newer_revision_is_served() -> None:
    """A peer may have a newer revision of the tables than this node.

    The call does not carry whether its route is idempotent. The node assumes
    that it is not, since a call that may have run must then not be repeated.
    """
    kernel = _kernel()
    assert Inbound(kernel=kernel).route('new') is None
    unlisted = Inbound(kernel=kernel, any_route=True).route('new')
    assert unlisted is not None
    assert not unlisted.idempotent
