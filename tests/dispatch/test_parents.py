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
    found = [parents.find(_PRICE, 798, 'x') for _ in range(12)]
    expected = ParentExecution(route='confirm', importance=Importance.CRITICAL)
    # The first calls are too few to infer that targets call the route.
    assert found[0] is None
    assert found[-1] == expected
    # The parent of a call with its own limit is inferred from its route.
    assert parents.find(_PRICE, 300, 'x') == expected


def test_requests_of_callers_match_a_deadline_by_chance() -> None:
    """Chance matches must not classify the requests as calls by targets."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    _open_execution(registry, 800)
    ends = [4000 if turn % 20 else 800 for turn in range(200)]
    assert not any(parents.find(_PRICE, end, 'x') for end in ends)


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
    found = [parents.find(_PRICE, end, 'x') for end in ends]
    expected = ParentExecution(route='confirm', importance=Importance.CRITICAL)
    assert found == [None, None, expected, expected]


# Guards against calls for an important request that are shed like those for
# others, as a short limit of their own hides which request they serve.
def test_call_whose_id_extends_that_of_a_request_has_it_as_parent() -> None:
    """Most calls of the route serve requests of less importance."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    running = []
    for number in range(20):
        importance = Importance.NORMAL if number else Importance.CRITICAL
        context = replace(
            make_call(importance=importance).context, request_id=f'r{number}'
        )
        route = 'lookup' if number else 'confirm'
        running.append(registry.open(context, route))
    expected = ParentExecution(route='confirm', importance=Importance.CRITICAL)
    assert parents.find(_PRICE, 300, 'r0.c1') == expected
    assert parents.find(_PRICE, 300, 'r0.c1.c2') is None
    assert parents.find(_PRICE, 300, 'r0') is None
    registry.close(running[0])
    assert parents.find(_PRICE, 300, 'r0.c1') is None


# Guards against an execution that is forgotten when an earlier one of the same
# request ends.
def test_repeated_request_keeps_its_later_execution() -> None:
    """A safe request may run twice at the same target."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    context = replace(make_call().context, request_id='r')
    first = registry.open(context, 'lookup')
    registry.open(context, 'lookup')
    registry.close(first)
    assert parents.find(_PRICE, 300, 'r.c') is not None


def test_requests_without_an_id_have_no_parent() -> None:
    """A caller may send no id, and the execution of its request has none."""
    kernel = Kernel()
    registry = ExecutionRegistry()
    kernel.register('executions', registry)
    parents = ParentInference(kernel=kernel)
    registry.open(replace(make_call().context, request_id=''), 'lookup')
    assert parents.find(_PRICE, 300, '') is None
    assert parents.find(_PRICE, 300, '.c') is None
