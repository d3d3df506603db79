"""A second attempt beside a slow first one."""

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
    """Runs an attempt and, if it is slow, another; one whole answer wins."""

    __slots__ = ('_clock', '_delay_ms', '_second_running', '_outcome')

    def __init__(self, *, clock: Clock, delay_ms: float) -> None:
        """Start the second attempt after ``delay_ms``."""
        self._clock = clock
        self._delay_ms = delay_ms
        self._second_running = False
        self._outcome: Outcome | None = None

    async def run(self, first: Attempt, second: SecondAttempt) -> Outcome:
        """Return the first whole answer, or the last refusal.

        The attempt that is still running when an answer arrives is
        cancelled. ``second`` returns None if it may not start.
        """
        async with anyio.create_task_group() as tasks:
            # Few attempts are slow enough for a second one, so that its task
            # is started by a timer: one that sleeps costs each call about
            # a fifth of the entry node's processor time.
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
            # A refusal that comes before the delay is left to the retries.
            if self._second_running and outcome.is_ok():
                tasks.cancel_scope.cancel()
        # The group ends without an outcome only if the caller is cancelled,
        # which raises above.
        assert self._outcome is not None
        return self._outcome

    def _start_second(self, second: SecondAttempt, tasks: TaskGroup) -> None:
        # Set here, so that an answer that precedes the task's first step
        # cancels it.
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
