"""Sends a call to targets of its pool, within its retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import final

from expression import Error
from expression import Result

from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.dispatch.attempt_budget import AttemptBudget
from savorystand.dispatch.hedge import Hedge
from savorystand.reporting.observer import AttemptKind
from savorystand.reporting.observer import find_observer
from savorystand.retry.policy import RetryPolicy
from savorystand.routing.router import Router
from savorystand.transport.peer_client import PeerClient
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.kernel.kernel import Kernel
    from savorystand.routing.choice import Choice
    from savorystand.verdict import Refusal


@final
@dataclass(slots=True, kw_only=True)
class _Attempt:
    choice: Choice
    attempt_retries: int
    kind: AttemptKind


class AttemptRunner:
    """Makes the attempts of calls: the first one, retries and hedges."""

    __slots__ = (
        '_clock',
        '_hedging_enabled',
        '_observer',
        '_peers',
        '_policy',
        '_router',
    )

    def __init__(self, *, kernel: Kernel) -> None:
        """Use the router, retry policy and peer client of ``kernel``."""
        self._clock = kernel.find('clock', Clock)
        self._policy = kernel.find('retry', RetryPolicy)
        self._hedging_enabled = self._policy.hedging_enabled
        self._router = kernel.find('routing', Router)
        self._peers = kernel.find('peers', PeerClient)
        self._observer = find_observer(kernel)

    async def run(self, call: Call) -> Outcome:
        """Return the response of a target or the refusal that ends the call."""
        policy = self._policy
        call_retries = policy.retries_for_call(call)
        shed = self._router.shed(call)
        if shed is not None:
            return Error(replace(shed, retries_left=call_retries))
        # Only calls that are sent add tokens to the retry budget of the pool.
        policy.budget(call.route.pool).record_fresh()
        budget = AttemptBudget(policy=policy, retries=call_retries)
        while True:
            outcome = await self._next_attempt(call, budget)
            match outcome:
                case Result(tag='ok'):
                    return budget.final_outcome(outcome)
                case Result(tag='error', error=refusal) if budget.use_failover(
                    refusal
                ):
                    continue
                case Result(tag='error', error=refusal) if self._may_continue(
                    call, refusal, budget
                ):
                    budget.retries -= 1
                case _:
                    return self._last_outcome(call, budget, outcome)

    def _last_outcome(
        self, call: Call, budget: AttemptBudget, outcome: Outcome
    ) -> Outcome:
        last = budget.final_outcome(outcome)
        match last:
            case Result(
                tag='error', error=NotRun(reason=Reason.RATE_LIMITED) as refusal
            ):
                return Error(self._router.record_rate_exhausted(call, refusal))
            case _:
                return last

    def _may_continue(
        self,
        call: Call,
        refusal: Refusal,
        budget: AttemptBudget,
    ) -> bool:
        remaining_ms = call.context.deadline_ms - self._clock.now()
        if remaining_ms <= self._router.expected_ms(call):
            return False
        if refusal.reason is Reason.RATE_LIMITED:
            # All that are worth trying have refused.
            return False
        # While the pool sheds this importance, its other targets would refuse
        # the call as well.
        shedding = refusal.reason is Reason.OVERLOADED
        if shedding and self._router.shed(call, probe=False) is not None:
            return False
        importance = call.context.importance
        return self._policy.may_retry(
            call.route, refusal, budget.retries, importance
        )

    def _next_attempt(
        self, call: Call, budget: AttemptBudget
    ) -> Awaitable[Outcome]:
        # Returns the awaitable instead of awaiting it: each enclosing coroutine
        # costs the call processor time whenever it is resumed.
        choice = self._pick(call, budget)
        if choice is None:
            return _refuse_no_target(call, budget)
        is_first = len(budget.tried) == 1
        kind = AttemptKind.FRESH if is_first else AttemptKind.RETRY
        attempt = _Attempt(
            choice=choice, attempt_retries=budget.take_retries(), kind=kind
        )
        delay_ms = (
            self._hedge_delay(call, budget) if self._hedging_enabled else None
        )
        if delay_ms is None:
            return self._attempt(call, attempt, budget)
        return Hedge(clock=self._clock, delay_ms=delay_ms).run(
            lambda: self._attempt(call, attempt, budget),
            lambda: self._hedge(call, budget),
        )

    def _hedge_delay(self, call: Call, budget: AttemptBudget) -> float | None:
        if not call.route.idempotent or budget.retries <= 0:
            return None
        delay_ms = self._router.hedge_delay_ms(call)
        if delay_ms is None:
            return None
        expected_ms = self._router.expected_ms(call)
        ends_ms = self._clock.now() + delay_ms + expected_ms
        return delay_ms if ends_ms < call.context.deadline_ms else None

    async def _hedge(self, call: Call, budget: AttemptBudget) -> Outcome | None:
        # Checked again: the pool may have started to shed during the delay.
        if self._hedge_delay(call, budget) is None:
            return None
        choice = self._pick(call, budget)
        if choice is None:
            return None
        if not self._policy.may_hedge(call.route, budget.retries):
            return None
        budget.retries -= 1
        hedge = _Attempt(
            choice=choice,
            attempt_retries=budget.take_retries(),
            kind=AttemptKind.HEDGE,
        )
        return await self._attempt(call, hedge, budget)

    def _pick(self, call: Call, budget: AttemptBudget) -> Choice | None:
        choice = self._router.pick(call, budget.tried)
        if choice is None:
            return None
        if (
            budget.is_rate_limited
            and call.context.importance < Importance.CRITICAL
            and choice.is_rate_paused(self._clock.now())
        ):
            # The best of the others would refuse as well. Only the most
            # important calls find room where others do not.
            return None
        budget.tried |= {choice.peer.node_id}
        return choice

    async def _attempt(
        self,
        call: Call,
        attempt: _Attempt,
        budget: AttemptBudget,
    ) -> Outcome:
        started_ms = self._clock.now()
        choice = attempt.choice
        outcome: Outcome | None = None
        self._router.begin(choice, call)
        try:
            sent = call.with_retries(attempt.attempt_retries)
            # Told to a node that has restarted beside a running target.
            hint = self._router.memory.hint(choice.peer, started_ms)
            if hint is not None:
                sent = replace(sent, hint=hint)
            outcome = await self._peers.call(choice.peer, sent)
        finally:
            self._finish(call, attempt, outcome, started_ms)
        if not attempt.attempt_retries and outcome.is_ok():
            return outcome
        public_outcome = _hide_connection_lost(outcome, attempt.attempt_retries)
        return budget.record_outcome(public_outcome, attempt.attempt_retries)

    def _finish(
        self,
        call: Call,
        attempt: _Attempt,
        outcome: Outcome | None,
        started_ms: float,
    ) -> None:
        duration_ms = self._clock.now() - started_ms
        choice = attempt.choice
        self._router.finish(
            choice, call, outcome=outcome, elapsed_ms=duration_ms
        )
        self._observer.on_attempt(
            call, choice, outcome, duration_ms, attempt.kind
        )


async def _refuse_no_target(call: Call, budget: AttemptBudget) -> Outcome:
    pool = call.route.pool
    detail = f'pool {pool} has no target left to try'
    refusal = NotRun(reason=Reason.NO_TARGET, detail=detail)
    return budget.record_outcome(Error(refusal), 0)


def _hide_connection_lost(outcome: Outcome, attempt_retries: int) -> Outcome:
    # CONNECTION_LOST is reserved for this node's own transport: the forwarding
    # of keyed calls relies on no peer returning it. A peer that was not reached
    # has used none of its retries.
    match outcome:
        case Result(
            tag='error',
            error=NotRun(reason=Reason.CONNECTION_LOST) as refusal,
        ):
            unavailable = replace(
                refusal,
                reason=Reason.UNAVAILABLE,
                retries_left=attempt_retries,
            )
            return Error(unavailable)
        case _:
            return outcome
