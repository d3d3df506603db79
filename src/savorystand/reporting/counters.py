"""Counters of a node for each route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.reporting.columns import Column
from savorystand.reporting.columns import part_of
from savorystand.reporting.histogram import bucket_of
from savorystand.reporting.observer import AttemptKind
from savorystand.reporting.series import WINDOW_COUNT
from savorystand.reporting.series import WINDOW_MS
from savorystand.reporting.series import Series

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.call import Call
    from savorystand.call import Importance
    from savorystand.call import Outcome
    from savorystand.clock import Clock
    from savorystand.tables.route import Route

# A window takes about 0.4 KB, so that the windows of all routes stay below
# 12 MB of the 64 MB that a node may use. Routes beyond share one series for
# each importance class, which keeps their objectives apart.
MAX_ROUTES = 64
OVERFLOW_PREFIX = '~overflow-'


class Counters:
    """Counts calls and attempts for each route, in bounded memory."""

    __slots__ = ('_clock', '_max_routes', '_series', 'overflowed', 'started_ms')

    def __init__(self, *, clock: Clock, max_routes: int = MAX_ROUTES) -> None:
        """Keep up to ``max_routes`` routes apart."""
        self._clock = clock
        self._max_routes = max_routes
        self._series: dict[str, Series] = {}
        self.overflowed = 0
        self.started_ms = clock.now()

    def count_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Count a call that has ended; no outcome means cancelled."""
        now = self._clock.now()
        window = int(now // WINDOW_MS)
        series = self._find(call.route, window)
        series.count(window, Column.FRESH)
        part = part_of(outcome, late=now > call.context.deadline_ms)
        series.count(window, part)
        if part <= Column.LATE:
            series.count_latency(window, bucket_of(elapsed_ms))

    def count_attempt(
        self,
        call: Call,
        kind: AttemptKind,
        cross_region_bytes: int,
    ) -> None:
        """Count an attempt and what it exchanged with another region."""
        window = self.window()
        series = self._find(call.route, window)
        series.count(window, Column.ATTEMPTS)
        match kind:
            case AttemptKind.RETRY:
                series.count(window, Column.RETRIES)
            case AttemptKind.HEDGE:
                series.count(window, Column.HEDGES)
        if cross_region_bytes:
            series.count_bytes(window, cross_region_bytes)

    def window(self) -> int:
        """Return the number of the current window."""
        return int(self._clock.now() // WINDOW_MS)

    def covered_ms(self) -> float:
        """Return how much of the last hour the counters cover."""
        age_ms = self._clock.now() - self.started_ms
        return min(age_ms, WINDOW_MS * WINDOW_COUNT)

    def routes(self) -> Iterator[tuple[str, Series]]:
        """Return names and series, in the order of their first call."""
        yield from self._series.items()

    def windows(self) -> int:
        """Return the number of windows that take memory, of all routes."""
        return sum(len(series) for series in self._series.values())

    def _find(self, route: Route, window: int) -> Series:
        series = self._series.get(route.name)
        if series is not None:
            series.importance = route.importance
            return series
        if self._has_room(window):
            return self._add(route.name, route.importance)
        self.overflowed += 1
        name = OVERFLOW_PREFIX + route.importance.name.lower()
        found = self._series.get(name)
        return found or self._add(name, route.importance)

    def _add(self, name: str, importance: Importance) -> Series:
        series = Series(importance=importance)
        self._series[name] = series
        return series

    def _has_room(self, window: int) -> bool:
        if len(self._series) < self._max_routes:
            return True
        idle = [
            name
            for name, series in self._series.items()
            if series.last_window() <= window - WINDOW_COUNT
        ]
        for name in idle:
            del self._series[name]
        return len(self._series) < self._max_routes
