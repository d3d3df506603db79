"""Error budget burn of each route, summed over all nodes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from itertools import zip_longest
from typing import TYPE_CHECKING
from typing import final

from savorystand.call import Importance
from savorystand.reporting.columns import CAUSES
from savorystand.reporting.columns import Column
from savorystand.reporting.histogram import quantile_ms

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from savorystand.reporting.documents import NodeCounts
    from savorystand.reporting.documents import RouteCounts

# Fractions of requests that should be answered completely by their deadline.
OBJECTIVE_CRITICAL = 0.999
OBJECTIVE_HIGH = 0.995
OBJECTIVE_NORMAL = 0.99
OBJECTIVE_LOW = 0.95
# At this rate, 1 h spends 2 % of an error budget of 30 days. It counts only if
# the last 5 min reach it too ("The Site Reliability Workbook", Google, 2018,
# chapter 5, table 5-8).
FAST_BURN_RATE = 14.4
# At this rate the budget is spent exactly at the end of its period.
SUSTAINABLE_BURN_RATE = 1.0
_MEDIAN = 0.5
_P99 = 0.99


def objective_of(importance: Importance) -> float:
    """Return the objective of an importance class as a fraction."""
    match importance:
        case Importance.CRITICAL:
            return OBJECTIVE_CRITICAL
        case Importance.HIGH:
            return OBJECTIVE_HIGH
        case Importance.NORMAL:
            return OBJECTIVE_NORMAL
        case Importance.LOW:
            return OBJECTIVE_LOW


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PeriodBurn:
    """Requests of one period; ``bad`` is the sum of ``causes``.

    ``caller_errors`` are requests that count neither as good nor as bad.
    """

    total: int
    good: int
    bad: int
    caller_errors: int
    objective: float
    causes: dict[str, int]

    @property
    def goodput(self) -> float | None:
        """Return the fraction of good requests, None without requests."""
        counted = self.good + self.bad
        return self.good / counted if counted else None

    @property
    def burn_rate(self) -> float | None:
        """Return the fraction of bad requests over the allowed fraction.

        It is None without requests.
        """
        counted = self.good + self.bad
        if not counted:
            return None
        return self.bad / counted / (1 - self.objective)

    @property
    def budget_left(self) -> float | None:
        """Return the remaining fraction of the period's error budget.

        It is negative if overspent, None without requests.
        """
        rate = self.burn_rate
        return None if rate is None else 1 - rate


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RouteBurn:
    """Burn of one route over the short (5 min) and long (1 h) period.

    ``timeline`` holds pairs of counted and good requests for each minute,
    newest first.
    """

    route: str
    importance: Importance
    short: PeriodBurn
    long: PeriodBurn
    attempts: int
    retries: int
    hedges: int
    cross_region_bytes: int
    median_ms: float
    p99_ms: float
    timeline: tuple[tuple[int, int], ...]

    @property
    def state(self) -> str:
        """Return ``fast burn``, ``over budget``, ``ok`` or ``idle``.

        ``fast burn`` needs a high rate in both periods, so that it ends soon
        after its cause. ``over budget`` depends on the long period only.
        """
        rate = self.long.burn_rate
        if rate is None:
            return 'idle'
        if min(rate, self.short.burn_rate or 0) >= FAST_BURN_RATE:
            return 'fast burn'
        return 'over budget' if rate > SUSTAINABLE_BURN_RATE else 'ok'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class MissingNode:
    """A node whose counters are not in the report, and why."""

    node: str
    why: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class BurnReport:
    """Burn of all routes, and the nodes that it covers.

    ``partial`` names nodes that have counted for less than the long period.
    ``beyond_routes`` is the number of calls and attempts of routes beyond the
    limits of their nodes.
    """

    routes: tuple[RouteBurn, ...]
    nodes: tuple[str, ...]
    missing: tuple[MissingNode, ...] = ()
    partial: tuple[str, ...] = ()
    beyond_routes: int = 0


@final
@dataclass(slots=True, kw_only=True)
class _RouteTotals:
    importance: Importance
    short: Counter[str] = field(default_factory=Counter)
    long: Counter[str] = field(default_factory=Counter)
    latency: Counter[int] = field(default_factory=Counter)
    cross_region_bytes: int = 0
    timeline: list[tuple[int, int]] = field(default_factory=list)

    def add(self, counts: RouteCounts) -> None:
        # Nodes may have different tables for seconds after a change.
        self.importance = max(self.importance, counts.importance)
        self.short.update(counts.short.counts)
        self.long.update(counts.long.counts)
        self.latency.update(dict(enumerate(counts.long.latency)))
        self.cross_region_bytes += counts.long.cross_region_bytes
        pairs = zip_longest(self.timeline, counts.timeline, fillvalue=(0, 0))
        self.timeline = [
            (left[0] + right[0], left[1] + right[1]) for left, right in pairs
        ]


def build_report(
    node_reports: Iterable[NodeCounts],
    missing: Sequence[MissingNode] = (),
) -> BurnReport:
    """Return the burn of all routes, the highest burn rate first."""
    # A node that was queried at two addresses counts once.
    nodes = {counters.node: counters for counters in node_reports}
    totals: dict[str, _RouteTotals] = {}
    for counters in nodes.values():
        for counts in counters.routes:
            empty = _RouteTotals(importance=counts.importance)
            totals.setdefault(counts.route, empty).add(counts)
    routes = [
        _route_burn(name, route_totals) for name, route_totals in totals.items()
    ]
    routes.sort(key=lambda route: (-(route.long.burn_rate or 0), route.route))
    return BurnReport(
        routes=tuple(routes),
        nodes=tuple(sorted(nodes)),
        missing=tuple(missing),
        partial=tuple(
            sorted(node.node for node in nodes.values() if node.partial)
        ),
        beyond_routes=sum(node.beyond_routes for node in nodes.values()),
    )


def _route_burn(name: str, totals: _RouteTotals) -> RouteBurn:
    objective = objective_of(totals.importance)
    latency = [totals.latency[bucket] for bucket in sorted(totals.latency)]
    return RouteBurn(
        route=name,
        importance=totals.importance,
        short=_period_burn(totals.short, objective),
        long=_period_burn(totals.long, objective),
        attempts=totals.long[Column.ATTEMPTS.label],
        retries=totals.long[Column.RETRIES.label],
        hedges=totals.long[Column.HEDGES.label],
        cross_region_bytes=totals.cross_region_bytes,
        median_ms=quantile_ms(latency, _MEDIAN),
        p99_ms=quantile_ms(latency, _P99),
        timeline=tuple(totals.timeline),
    )


def _period_burn(counts: Counter[str], objective: float) -> PeriodBurn:
    good = counts[Column.ANSWERED.label]
    total = counts[Column.FRESH.label]
    caller_errors = counts[Column.CALLER_ERROR.label]
    return PeriodBurn(
        total=total,
        good=good,
        bad=total - good - caller_errors,
        caller_errors=caller_errors,
        objective=objective,
        causes={
            cause: sum(counts[column.label] for column in columns)
            for cause, columns in CAUSES
        },
    )
