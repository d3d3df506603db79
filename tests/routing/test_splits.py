"""Guards against a split route whose pools get shares unlike its weights."""

from __future__ import annotations

from collections import Counter

from savorystand.call import Importance
from savorystand.routing.splits import SplitChooser
from savorystand.tables.route import PoolShare
from savorystand.tables.route import Route


def _route(*weights: float) -> Route:
    return Route(
        name='split',
        method='',
        path='/a/',
        pool='pool0',
        importance=Importance.NORMAL,
        idempotent=True,
        host='a.example',
        splits=tuple(
            PoolShare(pool=f'pool{index}', weight=weight)
            for index, weight in enumerate(weights)
        ),
    )


def test_shares_hold_over_few_requests() -> None:
    """Random choice would miss the weights in a window of 50 requests."""
    chooser = SplitChooser()
    chosen = Counter(chooser.choose(_route(90, 10)).pool for _ in range(50))
    assert chosen == {'pool0': 45, 'pool1': 5}


def test_pool_of_weight_zero_gets_nothing() -> None:
    """A pool with weight 0 in a split must not be called."""
    chooser = SplitChooser()
    chosen = {chooser.choose(_route(0, 3)).pool for _ in range(10)}
    assert chosen == {'pool1'}
