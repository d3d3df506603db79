"""Failures: calls of a target are taken for requests of callers."""

from __future__ import annotations

from dataclasses import replace

from savorystand.call import Importance
from savorystand.dispatch.origins import Origin
from savorystand.dispatch.origins import Origins
from savorystand.kernel.kernel import Kernel
from savorystand.retry.executions import ExecutionLedger
from tests.policy_doubles import make_call

_PRICE = make_call(route='price').route


def _running(ledger: ExecutionLedger, deadline_ms: float) -> None:
    context = replace(
        make_call(importance=Importance.CRITICAL).context,
        deadline_ms=deadline_ms,
    )
    ledger.open(context, 'confirm')


def test_call_inherits_from_the_execution_with_its_deadline() -> None:
    """A deep call has the importance of the request that it serves."""
    kernel = Kernel()
    ledger = ExecutionLedger()
    kernel.register('executions', ledger)
    origins = Origins(kernel=kernel)
    _running(ledger, 800)
    found = [origins.find(_PRICE, 798) for _ in range(12)]
    expected = Origin(route='confirm', importance=Importance.CRITICAL)
    # The first calls are too few to tell a route that targets call.
    assert found[0] is None
    assert found[-1] == expected
    # A call with a limit of its own is told by its route.
    assert origins.find(_PRICE, 300) == expected


def test_requests_of_callers_meet_a_deadline_by_chance() -> None:
    """Chance matches must not make a caller's route one of the target."""
    kernel = Kernel()
    ledger = ExecutionLedger()
    kernel.register('executions', ledger)
    origins = Origins(kernel=kernel)
    _running(ledger, 800)
    ends = [4000 if turn % 20 else 800 for turn in range(200)]
    assert not any(origins.find(_PRICE, end) for end in ends)
