"""Caps retries and hedges of a pool at a fraction of fresh calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# Retries and hedges together stay below this fraction of fresh calls.
RETRY_FRACTION = 0.1
# Hedges alone stay below this fraction of fresh calls.
HEDGE_FRACTION = 0.05
# Allows a pool with little traffic to retry at all; also the cap, so that a
# quiet hour does not accumulate tokens for a burst.
_MAX_TOKENS = 10.0
# Hedges are never needed to answer a call, so few tokens may accumulate.
_MAX_HEDGE_TOKENS = 2.0


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class BudgetLimits:
    """Retries, and hedges among them, as fractions of fresh calls.

    ``max_tokens`` is the most that accumulates while traffic is low.
    """

    retry_fraction: float = RETRY_FRACTION
    hedge_fraction: float = HEDGE_FRACTION
    max_tokens: float = _MAX_TOKENS


DEFAULT_LIMITS = BudgetLimits()


class RetryBudget:
    """Token bucket of one pool on one calling node."""

    __slots__ = ('_hedge_tokens', '_limits', '_tokens')

    def __init__(self, *, limits: BudgetLimits = DEFAULT_LIMITS) -> None:
        """Start full: a restarted node may retry at once, up to the cap."""
        self._limits = limits
        self._tokens = limits.max_tokens
        self._hedge_tokens = float(0)

    def record_fresh(self) -> None:
        """Count a call that is not a retry."""
        limits = self._limits
        self._tokens = min(
            limits.max_tokens, self._tokens + limits.retry_fraction
        )
        self._hedge_tokens = min(
            _MAX_HEDGE_TOKENS, self._hedge_tokens + limits.hedge_fraction
        )

    def spend(self, *, reserve: float = 0) -> bool:
        """Take a token for a retry; return False if none is left.

        ``reserve`` is the fraction of the maximum that stays reserved for
        more important calls.
        """
        if self._tokens < 1 + reserve * (self._limits.max_tokens - 1):
            return False
        self._tokens -= 1
        return True

    def spend_hedge(self) -> bool:
        """Take a token for a hedge; return False if none is left.

        A hedge takes a retry token too.
        """
        if self._hedge_tokens < 1 or not self.spend():
            return False
        self._hedge_tokens -= 1
        return True
