"""Tries targets of a pool in turn, within the request's budget."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from savorystand.clock import Clock
from savorystand.reporting.observer import AttemptKind
from savorystand.reporting.observer import find_observer
from savorystand.retry.policy import RetryPolicy
from savorystand.routing.router import Choice
from savorystand.routing.router import Router
from savorystand.transport.caller import PeerCaller
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.verdict import Refusal


class _Budget:
    """What a call may still spend, and what its attempts have left behind."""

    __slots__ = ('_lent', 'may_have_run', 'retries', 'tried')

    def __init__(self, *, retries: int) -> None:
        self.retries = retries
        self.may_have_run: MayHaveRun | None = None
        self.tried: frozenset[str] = frozenset()
        self._lent = 0

    def lend(self) -> int:
        """Take what travels with the next attempt: half, rounded up.

        The rest stays here for the case that the attempt is lost together
        with what was lent.
        """
        self._lent = (self.retries + 1) // 2
        self.retries -= self._lent
        return self._lent

    def settle(self, returned: int) -> None:
        """Take back what an attempt has left of the loan."""
        self.retries += min(self._lent, max(0, returned))
        self._lent = 0

    def record(self, refusal: Refusal) -> None:
        """Settle a refused attempt; one that may have run marks the call."""
        self.settle(refusal.retries_left)
        if isinstance(refusal, MayHaveRun):
            self.may_have_run = refusal

    def refuse(self, refusal: Refusal) -> Outcome:
        """Return the refusal of the call as a whole."""
        final = self.may_have_run or refusal
        return Error(replace(final, retries_left=self.retries))


class Attempts:
    """Makes the attempts of one call, one after the other."""

    __slots__ = ('_clock', '_kernel', '_observer')

    def __init__(self, *, kernel: Kernel) -> None:
        """Find router, retry policy and transport in ``kernel``."""
        self._kernel = kernel
        self._clock = kernel.find('clock', Clock)
        self._observer = find_observer(kernel)

    async def run(self, call: Call) -> Outcome:
        """Return the answer of a target or the refusal that ends the call."""
        policy = self._kernel.find('retry', RetryPolicy)
        policy.budget(call.route.pool).record_fresh()
        budget = _Budget(retries=call.context.retries_left)
        while True:
            outcome = await self._attempt_next(call, budget)
            match outcome:
                case Result(tag='ok', ok=answer):
                    budget.settle(answer.retries_left)
                    return Ok(replace(answer, retries_left=budget.retries))
                case Result(error=refusal):
                    budget.record(refusal)
            if not policy.may_retry(call.route, refusal, budget.retries):
                return budget.refuse(refusal)
            budget.retries -= 1

    async def _attempt_next(self, call: Call, budget: _Budget) -> Outcome:
        router = self._kernel.find('routing', Router)
        choice = router.pick(call, budget.tried)
        if choice is None:
            pool = call.route.pool
            detail = f'no target left in {pool}'
            return Error(NotRun(reason=Reason.NO_TARGET, detail=detail))
        kind = AttemptKind.RETRY if budget.tried else AttemptKind.FRESH
        budget.tried |= {choice.peer.node_id}
        context = replace(call.context, retries_left=budget.lend())
        return await self._attempt(replace(call, context=context), choice, kind)

    async def _attempt(
        self, call: Call, choice: Choice, kind: AttemptKind
    ) -> Outcome:
        router = self._kernel.find('routing', Router)
        caller = self._kernel.find('peers', PeerCaller)
        started = self._clock.now()
        outcome: Outcome | None = None
        router.begin(choice, call)
        try:
            outcome = await caller.call(choice.peer, call)
        finally:
            self._finish(choice, call, outcome, started, kind)
        return _without_connection_reason(outcome, call.context.retries_left)

    def _finish(
        self,
        choice: Choice,
        call: Call,
        outcome: Outcome | None,
        started: float,
        kind: AttemptKind,
    ) -> None:
        took_ms = self._clock.now() - started
        router = self._kernel.find('routing', Router)
        router.finish(choice, call, outcome=outcome, elapsed_ms=took_ms)
        self._observer.on_attempt(call, choice, outcome, took_ms, kind)


def _without_connection_reason(outcome: Outcome, lent: int) -> Outcome:
    # The reason is reserved to this node's own transport: the forwarding of
    # keys relies on no peer returning it. A peer that was not reached has
    # spent nothing of the loan.
    match outcome:
        case Result(
            tag='error',
            error=NotRun(reason=Reason.CONNECTION_LOST) as refusal,
        ):
            reached_nobody = replace(
                refusal,
                reason=Reason.UNAVAILABLE,
                retries_left=lent,
            )
            return Error(reached_nobody)
        case _:
            return outcome
