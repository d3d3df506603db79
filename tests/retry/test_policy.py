"""Failures: scarce retries go to calls that matter less."""

from __future__ import annotations

from savorystand.call import Importance
from savorystand.retry.budget import BudgetLimits
from savorystand.retry.policy import RetryPolicy
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_call

_ROUTE = make_call().route
_REFUSAL = NotRun(reason=Reason.TARGET_REFUSED)


def _granted(policy: RetryPolicy, importance: Importance) -> bool:
    return policy.may_retry(_ROUTE, _REFUSAL, 1, importance)


def test_last_tokens_are_kept_for_important_calls() -> None:
    """An order has to be retried while lookups have used up their part."""
    limits = BudgetLimits(retry_fraction=0.1, hedge_fraction=0, max_tokens=3)
    policy = RetryPolicy(limits=limits)
    assert _granted(policy, Importance.LOW)
    assert not _granted(policy, Importance.LOW)
    assert _granted(policy, Importance.CRITICAL)
    assert _granted(policy, Importance.CRITICAL)
    assert not _granted(policy, Importance.CRITICAL)


def test_retries_stay_below_the_fraction() -> None:
    """A pool in which all fails must not get more than its share of calls."""
    limits = BudgetLimits(retry_fraction=0.1, hedge_fraction=0, max_tokens=2)
    policy = RetryPolicy(limits=limits)
    retried = 0
    for _ in range(1000):
        policy.budget(_ROUTE.pool).record_fresh()
        retried += _granted(policy, Importance.CRITICAL)
    assert retried <= 102
