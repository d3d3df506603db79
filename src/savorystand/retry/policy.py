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

# Retries that an entry node grants a request for its whole call chain.
INITIAL_RETRIES = 2

# Fraction of the maximum tokens reserved for each higher importance.
_RESERVE_FRACTION = 0.3

# A retry at another target cannot change these outcomes.
_FINAL_REASONS = frozenset(
    (
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.FORGOTTEN,
        Reason.HOME_LOST,
        Reason.IN_PROGRESS,
        Reason.INVALID_CALL,
        Reason.KEY_REUSED,
        Reason.NO_TARGET,
        Reason.TOO_LARGE,
    )
)


class RetryPolicy:
    """Retry policy of one node, with one token budget per pool."""

    __slots__ = ('_budgets', '_limits', 'passes_retries')

    def __init__(
        self,
        *,
        limits: BudgetLimits = DEFAULT_LIMITS,
        passes_retries: bool = True,
    ) -> None:
        """Start with full budgets.

        If targets do not propagate the context, ``passes_retries`` is False:
        no retries go downstream, and each call gets the initial retries.
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
    def hedging_enabled(self) -> bool:
        """Return True if hedging is enabled."""
        return self._limits.hedge_fraction > 0

    def initial_retries(self) -> int:
        """Return the retries granted to a request that enters here."""
        return INITIAL_RETRIES

    def retries_for_call(self, call: Call) -> int:
        """Return the number of retries that a call may make.

        A route may limit the number of targets that a request is sent to.
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
        """Return the retries sent with an attempt: half, rounded up, or none.

        The rest stays here in case the attempt is lost together with the
        retries sent with it.
        """
        return (retries + 1) // 2 if self.passes_retries else 0

    def may_hedge(self, route: Route, retries_left: int) -> bool:
        """Return True, and take a token, if a hedge may be sent."""
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
                reserve = _RESERVE_FRACTION * (Importance.CRITICAL - importance)
                return self.budget(route.pool).spend(reserve=reserve)
