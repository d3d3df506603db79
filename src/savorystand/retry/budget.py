"""Caps retries and hedges of a pool at a fraction of fresh calls."""

from __future__ import annotations

# Retries and hedges together stay below this fraction of fresh calls.
RETRY_FRACTION = 0.1
# Hedges alone stay below this one.
HEDGE_FRACTION = 0.05
# Lets a pool with little traffic retry at all; also the cap, so that a quiet
# hour does not save up a burst.
_MAX_TOKENS = 10.0
# Hedges are never needed to answer a call, so that few may be saved up.
_MAX_HEDGES = 2.0


class RetryBudget:
    """Token bucket of one pool on one calling node."""

    __slots__ = ('_hedges', '_tokens')

    def __init__(self) -> None:
        """Start full: a restarted node may retry at once, up to the cap."""
        self._tokens = _MAX_TOKENS
        self._hedges = float(0)

    def record_fresh(self) -> None:
        """Count a call that is not a retry."""
        self._tokens = min(_MAX_TOKENS, self._tokens + RETRY_FRACTION)
        self._hedges = min(_MAX_HEDGES, self._hedges + HEDGE_FRACTION)

    def spend(self) -> bool:
        """Take a token for a retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def spend_hedge(self) -> bool:
        """Take a token for a hedge; return False if none is left.

        It counts against the tokens for retries too.
        """
        if self._hedges < 1 or not self.spend():
            return False
        self._hedges -= 1
        return True
