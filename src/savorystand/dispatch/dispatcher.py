"""Dispatches the calls of callers and of the local target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error

from savorystand.clock import Clock
from savorystand.dispatch.attempts import AttemptRunner
from savorystand.dispatch.keyed import KeyedCalls
from savorystand.reporting.observer import find_observer
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import refuse_undispatched

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.verdict import Refusal


class Dispatcher:
    """Entry point for calls that no peer has forwarded."""

    __slots__ = ('_attempt_runner', '_clock', '_kernel', '_observer')

    def __init__(self, *, kernel: Kernel) -> None:
        """Use the attempt runner and keyed calls of ``kernel``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._attempt_runner = kernel.find('attempts', AttemptRunner)
        self._observer = find_observer(kernel)

    async def call(self, call: Call) -> Outcome:
        """Dispatch a call, report it to the observer and return its outcome."""
        started_ms = self._clock.now()
        outcome: Outcome | None = None
        try:
            outcome = await self._dispatch(call, started_ms)
        finally:
            elapsed_ms = self._clock.now() - started_ms
            self._observer.on_call(call, outcome, elapsed_ms)
        return outcome

    def _dispatch(self, call: Call, now: float) -> Awaitable[Outcome]:
        # Returns the awaitable instead of awaiting it: each enclosing coroutine
        # costs the call processor time whenever it is resumed.
        if call.context.deadline_ms <= now:
            no_earlier_run = (
                call.is_first_attempt or not call.key or call.route.idempotent
            )
            return _refuse(
                refuse_undispatched(
                    Reason.DEADLINE, detail='', no_earlier_run=no_earlier_run
                )
            )
        if call.route.idempotent or not call.route.needs_key:
            return self._attempt_runner.run(call)
        if not call.key:
            name = call.route.name
            detail = f'route {name} requires an Idempotency-Key header'
            return _refuse(NotRun(reason=Reason.KEY_REQUIRED, detail=detail))
        return self._kernel.find('keys', KeyedCalls).call(call)


async def _refuse(refusal: Refusal) -> Outcome:
    return Error(refusal)
