"""Takes calls from callers and from the own target to their outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error

from savorystand.clock import Clock
from savorystand.deduplication.runner import KeyedRunner
from savorystand.dispatch.attempts import Attempts
from savorystand.reporting.observer import find_observer
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import not_seen

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel


class Dispatcher:
    """Entry of calls into the system."""

    __slots__ = ('_clock', '_kernel', '_observer')

    def __init__(self, *, kernel: Kernel) -> None:
        """Find attempts and keys in ``kernel``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._observer = find_observer(kernel)

    async def call(self, call: Call) -> Outcome:
        """Serve one call whose route is known."""
        started = self._clock.now()
        outcome: Outcome | None = None
        try:
            outcome = await self._serve(call)
        finally:
            elapsed_ms = self._clock.now() - started
            self._observer.on_call(call, outcome, elapsed_ms)
        return outcome

    async def _serve(self, call: Call) -> Outcome:
        if call.context.deadline_ms <= self._clock.now():
            known = call.first or not call.key or call.route.idempotent
            return Error(not_seen(Reason.DEADLINE, detail='', known=known))
        if call.route.idempotent or not call.route.needs_key:
            return await self._kernel.find('attempts', Attempts).run(call)
        if not call.key:
            name = call.route.name
            detail = f'route {name} needs an Idempotency-Key'
            return Error(NotRun(reason=Reason.KEY_REQUIRED, detail=detail))
        return await self._kernel.find('keys', KeyedRunner).call(call)
