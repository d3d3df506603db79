"""Guards against less important calls using up the retry budget."""

from __future__ import annotations

from savorystand.call import Importance
from savorystand.retry.budget import BudgetLimits
from savorystand.retry.policy import RetryPolicy
from savorystand.verdict import NotRun
from savorystand.verdict import Reason
from tests.policy_doubles import make_call

_ROUTE = make_call().route
_REFUSAL = NotRun(reason=Reason.TARGET_REFUSED)


def _may_retry(policy: RetryPolicy, importance: Importance) -> bool:
    return policy.may_retry(_ROUTE, _REFUSAL, 1, importance)


def test_last_tokens_are_kept_for_important_calls() -> None:
    """Critical calls must be retried after low calls used up their part."""
    limits = BudgetLimits(retry_fraction=0.1, hedge_fraction=0, max_tokens=3)
    policy = RetryPolicy(limits=limits)
    assert _may_retry(policy, Importance.LOW)
    assert not _may_retry(policy, Importance.LOW)
    assert _may_retry(policy, Importance.CRITICAL)
    assert _may_retry(policy, Importance.CRITICAL)
    assert not _may_retry(policy, Importance.CRITICAL)


def test_retries_stay_below_the_fraction() -> None:
    """Retries must stay bounded in a pool where every call fails."""
    limits = BudgetLimits(retry_fraction=0.1, hedge_fraction=0, max_tokens=2)
    policy = RetryPolicy(limits=limits)
    retried = 0
    for _ in range(1000):
        policy.budget(_ROUTE.pool).record_fresh()
        retried += _may_retry(policy, Importance.CRITICAL)
    assert retried <= 102
