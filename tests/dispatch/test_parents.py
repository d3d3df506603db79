"""Guards against mistaking calls by targets for requests of callers.

Both arrive without a context and are told apart by their deadlines, which
requests of callers may match by chance.
"""

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
    """A call by a target gets the importance of the request it serves."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    _open_execution(registry, 800)
    found = [parents.find(_PRICE, 798) for _ in range(12)]
    expected = ParentExecution(route='confirm', importance=Importance.CRITICAL)
    # The first calls are too few to infer that targets call the route.
    assert found[0] is None
    assert found[-1] == expected
    # The parent of a call with its own limit is inferred from its route.
    assert parents.find(_PRICE, 300) == expected


def test_requests_of_callers_match_a_deadline_by_chance() -> None:
    """Chance matches must not classify the requests as calls by targets."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    _open_execution(registry, 800)
    ends = [4000 if turn % 20 else 800 for turn in range(200)]
    assert not any(parents.find(_PRICE, end) for end in ends)


# Guards against calls that lose the importance of their request for seconds
# after a start, and are refused although work has been done for them.
def test_new_node_infers_parents_from_its_second_match() -> None:
    """After a restart of everything, each node makes few calls a second."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    _open_execution(registry, 800)
    ends = (800, 300, 800, 300)
    found = [parents.find(_PRICE, end) for end in ends]
    expected = ParentExecution(route='confirm', importance=Importance.CRITICAL)
    assert found == [None, None, expected, expected]
