"""Hedging: a second attempt in parallel with a slow first one."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import final

import anyio

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from savorystand.call import Outcome
    from savorystand.clock import Clock

Attempt: TypeAlias = Callable[[], Awaitable['Outcome']]
SecondAttempt: TypeAlias = Callable[[], Awaitable['Outcome | None']]


@final
class Hedge:
    """Runs a second attempt if the first is slow; the first response wins."""

    __slots__ = ('_clock', '_delay_ms', '_second_running', '_outcome')

    def __init__(self, *, clock: Clock, delay_ms: float) -> None:
        """Start the second attempt ``delay_ms`` after the first."""
        self._clock = clock
        self._delay_ms = delay_ms
        self._second_running = False
        self._outcome: Outcome | None = None

    async def run(self, first: Attempt, second: SecondAttempt) -> Outcome:
        """Return the first response, or the refusal of ``first``.

        The attempt that is still running when a response arrives is
        cancelled. ``second`` returns None if it may not start.
        """
        async with anyio.create_task_group() as tasks:
            # A timer starts the second task, as few attempts are slow enough
            # to need it: a sleeping task for each call takes about a fifth of
            # the entry node's processor time.
            timer = self._clock.call_later(
                self._delay_ms,
                lambda: self._start_second(second, tasks),
            )
            try:
                outcome = await first()
            finally:
                timer.cancel()
            if self._outcome is None:
                self._outcome = outcome
            # A refusal does not cancel a running second attempt. Before the
            # delay has passed, the caller of this method handles it by a retry.
            if self._second_running and outcome.is_ok():
                tasks.cancel_scope.cancel()
        # The task group ends without an outcome only if the call itself is
        # cancelled, and that raises above.
        assert self._outcome is not None
        return self._outcome

    def _start_second(self, second: SecondAttempt, tasks: TaskGroup) -> None:
        # Set here and not in the task, so that a response of the first attempt
        # cancels the task even before its first step.
        self._second_running = True
        tasks.start_soon(self._run_second, second, tasks)

    async def _run_second(
        self,
        second: SecondAttempt,
        tasks: TaskGroup,
    ) -> None:
        outcome = await second()
        self._second_running = False
        if outcome is None:
            return
        if outcome.is_ok():
            self._outcome = outcome
            tasks.cancel_scope.cancel()
