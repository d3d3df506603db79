"""Divides the requests of a route among several pools."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import TypeAlias

if TYPE_CHECKING:
    from savorystand.tables.route import PoolShare
    from savorystand.tables.route import Route

Shares: TypeAlias = 'tuple[PoolShare, ...]'

# Routes of replaced configurations are dropped beyond this number.
_MAX_ROUTES = 1000


class SplitChooser:
    """Smooth weighted round robin for each route.

    Each request raises the credit of all pools by their weights; the pool
    with the most is chosen and is charged the sum (as in nginx, 2012). The shares
    hold over a few requests, which random choice would not achieve.
    """

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        """Start with zero credit for all pools."""
        self._credits: dict[tuple[str, Shares], list[float]] = {}

    def choose(self, route: Route) -> Route:
        """Return the route with the pool chosen for this request."""
        if not route.splits:
            return route
        known = (route.name, route.splits)
        credits = self._credits.get(known)
        if credits is None:
            if len(self._credits) >= _MAX_ROUTES:
                self._credits.clear()
            credits = [0 for _ in route.splits]
            self._credits[known] = credits
        total: float = 0
        for index, share in enumerate(route.splits):
            credits[index] += share.weight
            total += share.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= total
        return replace(route, pool=route.splits[chosen].pool)
