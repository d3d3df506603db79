"""Decides whether a refused attempt is followed by another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.call import Importance
from savorystand.retry.budget import DEFAULT_LIMITS
from savorystand.retry.budget import BudgetLimits
from savorystand.retry.budget import RetryBudget
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from savorystand.verdict import Refusal

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.tables.route import Route

# Retries that an entry node grants a request, for its whole chain.
INITIAL_RETRIES = 2

# Part of the saved tokens that stays for each higher importance.
_RESERVE = 0.3

# Trying again elsewhere cannot change these.
_FINAL_REASONS = frozenset(
    (
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.FORGOTTEN,
        Reason.HOME_LOST,
        Reason.IN_PROGRESS,
        Reason.KEY_REUSED,
        Reason.NO_TARGET,
        Reason.TOO_LARGE,
    )
)


class RetryPolicy:
    """Retries of one node, with one token budget for each pool."""

    __slots__ = ('_budgets', '_limits', 'passes_retries')

    def __init__(
        self,
        *,
        limits: BudgetLimits = DEFAULT_LIMITS,
        passes_retries: bool = True,
    ) -> None:
        """Start with full budgets.

        Where targets pass no context on, nothing is given to the hops below,
        and each call gets the retries of an entry.
        """
        self.passes_retries = passes_retries
        self._limits = limits
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, pool: str) -> RetryBudget:
        """Return the token budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(limits=self._limits)
            self._budgets[pool] = budget
        return budget

    @property
    def hedges(self) -> bool:
        """Return True if hedges are made at all."""
        return self._limits.hedge_fraction > 0

    def initial_retries(self) -> int:
        """Return the retries granted to a request that enters here."""
        return INITIAL_RETRIES

    def retries_for_call(self, call: Call) -> int:
        """Return the retries of a call.

        A route may bound the targets to which a request is sent.
        """
        retries = (
            call.context.retries_left
            if self.passes_retries
            else INITIAL_RETRIES
        )
        if call.route.max_targets:
            return min(retries, call.route.max_targets - 1)
        return retries

    def retries_for_attempt(self, retries: int) -> int:
        """Return what travels with an attempt: half, rounded up, or nothing.

        The rest stays here for the case that the attempt is lost together
        with what was given.
        """
        return (retries + 1) // 2 if self.passes_retries else 0

    def may_hedge(self, route: Route, retries_left: int) -> bool:
        """Return True, and take a token, if a second attempt may start."""
        if retries_left <= 0 or not route.idempotent:
            return False
        return self.budget(route.pool).spend_hedge()

    def may_retry(
        self,
        route: Route,
        refusal: Refusal,
        retries_left: int,
        importance: Importance = Importance.CRITICAL,
    ) -> bool:
        """Return True, and take a token, if another attempt may follow.

        ``retries_left`` is the request's own budget after the attempt. When
        tokens are scarce the more important calls get them.
        """
        if retries_left <= 0 or refusal.from_below:
            return False
        if refusal.reason in _FINAL_REASONS:
            return False
        match refusal:
            case MayHaveRun() if not route.idempotent:
                return False
            case NotRun() | MayHaveRun():
                reserve = _RESERVE * (Importance.CRITICAL - importance)
                return self.budget(route.pool).spend(reserve=reserve)
