"""Service-level burn of all nodes together."""

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

# Shares of whole requests that are to be answered within their deadline.
OBJECTIVE_CRITICAL = 0.999
OBJECTIVE_HIGH = 0.995
OBJECTIVE_NORMAL = 0.99
OBJECTIVE_LOW = 0.95
# Burn rate over 1 h that spends 2 % of a budget of 30 days; it counts only
# if the last 5 min confirm it ("The Site Reliability Workbook", Google, 2018,
# chapter 5, table 5-8).
FAST_BURN = 14.4
# At this rate the budget is spent exactly at the end of its period.
EVEN_BURN = 1.0
_MEDIAN = 0.5
_TAIL = 0.99


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
        """Return the share of good requests, None without requests."""
        counted = self.good + self.bad
        return self.good / counted if counted else None

    @property
    def burn_rate(self) -> float | None:
        """Return the share of bad requests over the share allowed."""
        counted = self.good + self.bad
        if not counted:
            return None
        return self.bad / counted / (1 - self.objective)

    @property
    def budget_left(self) -> float | None:
        """Return what is left of the period's budget; negative if overspent."""
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

        A fast burn needs both periods, so that it ends soon after its cause;
        over budget tells of the long period alone.
        """
        rate = self.long.burn_rate
        if rate is None:
            return 'idle'
        if min(rate, self.short.burn_rate or 0) >= FAST_BURN:
            return 'fast burn'
        return 'over budget' if rate > EVEN_BURN else 'ok'


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class Missing:
    """A node whose counters are not in the report, and why."""

    node: str
    why: str


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class BurnReport:
    """Burn of all routes, and the nodes that it covers.

    ``partial`` names nodes that have counted for less than the long period.
    """

    routes: tuple[RouteBurn, ...]
    nodes: tuple[str, ...]
    missing: tuple[Missing, ...] = ()
    partial: tuple[str, ...] = ()
    beyond_routes: int = 0


@final
@dataclass(slots=True, kw_only=True)
class _Joined:
    importance: Importance
    short: Counter[str] = field(default_factory=Counter)
    long: Counter[str] = field(default_factory=Counter)
    latency: Counter[int] = field(default_factory=Counter)
    cross_region_bytes: int = 0
    timeline: list[tuple[int, int]] = field(default_factory=list)

    def add(self, counts: RouteCounts) -> None:
        # Nodes may differ for seconds after a change of the tables.
        self.importance = max(self.importance, counts.importance)
        self.short.update(counts.short.counts)
        self.long.update(counts.long.counts)
        self.latency.update(dict(enumerate(counts.long.latency)))
        self.cross_region_bytes += counts.long.cross_region_bytes
        pairs = zip_longest(self.timeline, counts.timeline, fillvalue=(0, 0))
        self.timeline = [
            (one[0] + other[0], one[1] + other[1]) for one, other in pairs
        ]


def build_report(
    answers: Iterable[NodeCounts],
    missing: Sequence[Missing] = (),
) -> BurnReport:
    """Return the burn of all routes, the fastest burning first."""
    # A node that was asked at two addresses counts once.
    nodes = {answer.node: answer for answer in answers}
    joined: dict[str, _Joined] = {}
    for answer in nodes.values():
        for counts in answer.routes:
            fresh = _Joined(importance=counts.importance)
            joined.setdefault(counts.route, fresh).add(counts)
    routes = [_burn(name, parts) for name, parts in joined.items()]
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


def _burn(name: str, joined: _Joined) -> RouteBurn:
    objective = objective_of(joined.importance)
    latency = [joined.latency[bucket] for bucket in sorted(joined.latency)]
    return RouteBurn(
        route=name,
        importance=joined.importance,
        short=_period(joined.short, objective),
        long=_period(joined.long, objective),
        attempts=joined.long[Column.ATTEMPTS.label],
        retries=joined.long[Column.RETRIES.label],
        hedges=joined.long[Column.HEDGES.label],
        cross_region_bytes=joined.cross_region_bytes,
        median_ms=quantile_ms(latency, _MEDIAN),
        p99_ms=quantile_ms(latency, _TAIL),
        timeline=tuple(joined.timeline),
    )


def _period(counts: Counter[str], objective: float) -> PeriodBurn:
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
