"""Running executions of the local target and their retry budgets."""

from __future__ import annotations

import bisect
import itertools
import secrets
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.call import CallContext
    from savorystand.call import Importance

_ID_BYTES = 8


@final
@dataclass(slots=True, kw_only=True)
class Execution:
    """One run of a request at the local target.

    ``retries_left`` is what the target's own calls may still spend;
    ``downstream_failed`` is set when one of these calls failed.
    """

    execution_id: str
    context: CallContext
    retries_left: int
    route: str = ''
    downstream_failed: bool = False


class ExecutionRegistry:
    """The running executions of the local target, by id."""

    __slots__ = (
        '_by_request',
        '_by_route',
        '_deadlines',
        '_numbers',
        '_prefix',
        '_running',
    )

    def __init__(self) -> None:
        """Start with no running execution."""
        # Random bytes for each execution would cost a system call.
        self._prefix = secrets.token_hex(_ID_BYTES)
        self._numbers = itertools.count(1)
        self._running: dict[str, Execution] = {}
        # Of the executions of one request the last one counts.
        self._by_request: dict[str, Execution] = {}
        # Deadline and id of each running execution, sorted.
        self._deadlines: list[tuple[float, str]] = []
        # Number of running executions by route and importance.
        self._by_route: dict[str, Counter[Importance]] = {}

    def __len__(self) -> int:
        """Return the number of running executions."""
        return len(self._running)

    def open(self, context: CallContext, route: str = '') -> Execution:
        """Record an execution of a route that is about to start."""
        execution = Execution(
            execution_id=f'{self._prefix}{next(self._numbers):x}',
            context=context,
            route=route,
            retries_left=context.retries_left,
        )
        self._running[execution.execution_id] = execution
        self._by_request[context.request_id] = execution
        bisect.insort(self._deadlines, _deadline_key(execution))
        counts = self._by_route.get(route)
        if counts is None:
            counts = Counter()
            self._by_route[route] = counts
        counts[context.importance] += 1
        return execution

    def close(self, execution: Execution) -> None:
        """Remove an execution; calls it makes later are refused."""
        if self._running.pop(execution.execution_id, None) is None:
            return
        request_id = execution.context.request_id
        if self._by_request.get(request_id) is execution:
            del self._by_request[request_id]
        del self._deadlines[
            bisect.bisect_left(self._deadlines, _deadline_key(execution))
        ]
        counts = self._by_route[execution.route]
        counts[execution.context.importance] -= 1
        if not counts.total():
            del self._by_route[execution.route]

    def find(self, execution_id: str) -> Execution | None:
        """Return the running execution with this id, or None."""
        return self._running.get(execution_id)

    def find_by_request(self, request_id: str) -> Execution | None:
        """Return the running execution of a request, or None."""
        return self._by_request.get(request_id)

    def find_by_deadline(
        self, deadline_ms: float, tolerance_ms: float
    ) -> Execution | None:
        """Return the running execution whose deadline is nearest.

        None if no deadline is within ``tolerance_ms`` of ``deadline_ms``.
        """
        index = bisect.bisect_left(self._deadlines, (deadline_ms, ''))
        nearest_id = ''
        for running_deadline_ms, execution_id in self._deadlines[
            max(0, index - 1) : index + 1
        ]:
            gap_ms = abs(running_deadline_ms - deadline_ms)
            if gap_ms < tolerance_ms:
                nearest_id = execution_id
                tolerance_ms = gap_ms
        return self._running[nearest_id] if nearest_id else None

    def most_common_importance(self, route: str) -> Importance | None:
        """Return the importance that most running executions of a route have.

        None if no execution of the route is running.
        """
        counts = self._by_route.get(route)
        return None if counts is None else max(counts, key=counts.__getitem__)

    def take_retries(self, execution_id: str) -> int:
        """Take the whole remaining budget for one call of the execution.

        Of concurrent calls only the first gets the budget, so that
        fan-out does not multiply it.
        """
        execution = self._running.get(execution_id)
        if execution is None:
            return 0
        taken = execution.retries_left
        execution.retries_left = 0
        return taken

    def return_retries(
        self, execution_id: str, *, returned: int, failed: bool
    ) -> None:
        """Add the unused retries of a call back; record if the call failed."""
        execution = self._running.get(execution_id)
        if execution is None:
            return
        execution.retries_left = min(
            execution.context.retries_left,
            execution.retries_left + max(0, returned),
        )
        execution.downstream_failed = execution.downstream_failed or failed


def _deadline_key(execution: Execution) -> tuple[float, str]:
    return execution.context.deadline_ms, execution.execution_id
