"""Failures: calls of a target are taken for requests of callers."""

from __future__ import annotations

from dataclasses import replace

from savorystand.call import Importance
from savorystand.dispatch.parents import ParentExecution
from savorystand.dispatch.parents import ParentInference
from savorystand.kernel.kernel import Kernel
from savorystand.retry.executions import ExecutionRegistry
from tests.policy_doubles import make_call

_PRICE = make_call(route='price').route


def _open_execution(registry: ExecutionRegistry, deadline_ms: float) -> None:
    context = replace(
        make_call(importance=Importance.CRITICAL).context,
        deadline_ms=deadline_ms,
    )
    registry.open(context, 'confirm')


def test_call_inherits_from_the_execution_with_its_deadline() -> None:
    """A deep call has the importance of the request that it serves."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    _open_execution(registry, 800)
    found = [parents.find(_PRICE, 798) for _ in range(12)]
    expected = ParentExecution(route='confirm', importance=Importance.CRITICAL)
    # The first calls are too few to tell a route that targets call.
    assert found[0] is None
    assert found[-1] == expected
    # A call with a limit of its own is told by its route.
    assert parents.find(_PRICE, 300) == expected


def test_requests_of_callers_meet_a_deadline_by_chance() -> None:
    """Chance matches must not make a caller's route one of the target."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    _open_execution(registry, 800)
    ends = [4000 if turn % 20 else 800 for turn in range(200)]
    assert not any(parents.find(_PRICE, end) for end in ends)
