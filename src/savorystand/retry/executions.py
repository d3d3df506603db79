"""Budgets of the executions that run at this node's target."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import final

if TYPE_CHECKING:
    from savorystand.call import CallContext

_ID_BYTES = 8


@final
@dataclass(slots=True, kw_only=True)
class Execution:
    """One run of a request at the own target.

    ``retries_left`` is what the target's own calls may still spend;
    ``failed_below`` is set when one of these calls failed.
    """

    execution_id: str
    context: CallContext
    retries_left: int
    failed_below: bool = False


class ExecutionLedger:
    """The running executions of the own target, by id."""

    __slots__ = ('_running',)

    def __init__(self) -> None:
        """Start with no execution."""
        self._running: dict[str, Execution] = {}

    def __len__(self) -> int:
        """Return the number of running executions."""
        return len(self._running)

    def open(self, context: CallContext) -> Execution:
        """Record an execution that is about to start."""
        execution = Execution(
            execution_id=secrets.token_hex(_ID_BYTES),
            context=context,
            retries_left=context.retries_left,
        )
        self._running[execution.execution_id] = execution
        return execution

    def close(self, execution: Execution) -> None:
        """Forget an execution; its late calls are refused from now on."""
        self._running.pop(execution.execution_id, None)

    def find(self, execution_id: str) -> Execution | None:
        """Return the running execution of that id."""
        return self._running.get(execution_id)

    def lend(self, execution_id: str) -> int:
        """Take the whole remaining budget for one call of the execution.

        Of calls made side by side only the first gets the budget, so that
        fan-out does not multiply it.
        """
        execution = self._running.get(execution_id)
        if execution is None:
            return 0
        lent = execution.retries_left
        execution.retries_left = 0
        return lent

    def settle(self, execution_id: str, *, returned: int, failed: bool) -> None:
        """Give back what a call of the execution has left of the budget."""
        execution = self._running.get(execution_id)
        if execution is None:
            return
        execution.retries_left = min(
            execution.context.retries_left,
            execution.retries_left + max(0, returned),
        )
        execution.failed_below = execution.failed_below or failed
