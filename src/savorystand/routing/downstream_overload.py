"""Overload of the pools that the routes of the local target call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.routing.overload_trend import OverloadTrend

if TYPE_CHECKING:
    from savorystand.clock import Clock

# Routes of replaced configurations are dropped beyond this number.
_MAX_ROUTES = 1000


class DownstreamOverload:
    """Overload that responses to the calls of each route reported."""

    __slots__ = ('_clock', '_routes')

    def __init__(self, *, clock: Clock) -> None:
        """Start with no recorded calls."""
        self._clock = clock
        self._routes: dict[str, dict[str, OverloadTrend]] = {}

    def record(self, caller: str, called: str, pressed_rank: int) -> None:
        """Record the response to a call from ``caller`` to ``called``."""
        if caller not in self._routes and len(self._routes) >= _MAX_ROUTES:
            self._routes.clear()
        trends = self._routes.setdefault(caller, {})
        trend = trends.get(called)
        if trend is None:
            trend = OverloadTrend()
            trends[called] = trend
        trend.record(pressed_rank, self._clock.now())

    def pressed_rank(self, route: str) -> int:
        """Return the rank below which calls of a route are overloaded."""
        now = self._clock.now()
        trends = self._routes.get(route, {})
        return max((one.rank(now) for one in trends.values()), default=0)
