"""Counters of the calls and attempts of each route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.reporting.columns import Column
from savorystand.reporting.columns import outcome_column
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
# 12 MB of the 64 MB that a node may use. Routes beyond the limit share one
# series for each importance class, because each class has its own objective.
MAX_ROUTES = 64
OVERFLOW_PREFIX = '~overflow-'


class Counters:
    """Counts calls and attempts for each route, in bounded memory."""

    __slots__ = (
        '_clock',
        '_max_routes',
        '_series',
        'overflow_count',
        'started_ms',
    )

    def __init__(self, *, clock: Clock, max_routes: int = MAX_ROUTES) -> None:
        """Keep separate series for up to ``max_routes`` routes."""
        self._clock = clock
        self._max_routes = max_routes
        self._series: dict[str, Series] = {}
        self.overflow_count = 0
        self.started_ms = clock.now()

    def count_call(
        self,
        call: Call,
        outcome: Outcome | None,
        elapsed_ms: float,
    ) -> None:
        """Count a call that has ended; ``outcome`` is None if cancelled."""
        now = self._clock.now()
        window = int(now // WINDOW_MS)
        series = self._series_for(call.route, window)
        series.count(window, Column.FRESH)
        column = outcome_column(outcome, late=now > call.context.deadline_ms)
        series.count(window, column)
        if column <= Column.LATE:
            series.count_latency(window, bucket_of(elapsed_ms))

    def count_attempt(
        self,
        call: Call,
        kind: AttemptKind,
        cross_region_bytes: int,
    ) -> None:
        """Count an attempt and the bytes exchanged with another region."""
        window = self.window()
        series = self._series_for(call.route, window)
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
        """Return how much of the last hour the counters cover, in ms."""
        age_ms = self._clock.now() - self.started_ms
        return min(age_ms, WINDOW_MS * WINDOW_COUNT)

    def routes(self) -> Iterator[tuple[str, Series]]:
        """Return the names and series of routes, in order of first use."""
        yield from self._series.items()

    def allocated_windows(self) -> int:
        """Return the number of allocated windows of all routes."""
        return sum(len(series) for series in self._series.values())

    def _series_for(self, route: Route, window: int) -> Series:
        series = self._series.get(route.name)
        if series is not None:
            series.importance = route.importance
            return series
        if self._has_capacity(window):
            return self._add_series(route.name, route.importance)
        self.overflow_count += 1
        name = OVERFLOW_PREFIX + route.importance.name.lower()
        found = self._series.get(name)
        return found or self._add_series(name, route.importance)

    def _add_series(self, name: str, importance: Importance) -> Series:
        series = Series(importance=importance)
        self._series[name] = series
        return series

    def _has_capacity(self, window: int) -> bool:
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
