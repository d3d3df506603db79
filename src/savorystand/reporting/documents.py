"""Parses the JSON reports of nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TypeAlias
from typing import final

from savorystand.call import Importance
from savorystand.reporting.columns import OUTCOME_COLUMNS
from savorystand.reporting.columns import Column
from savorystand.reporting.histogram import BUCKET_COUNT
from savorystand.reporting.series import WINDOW_COUNT
from savorystand.reporting.series import WINDOW_MS

Document: TypeAlias = dict[str, Any]


class ReportFormatError(Exception):
    """The response of a node is not a valid report."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PeriodCounts:
    """Counters of one period.

    ``counts`` is keyed by column label, ``latency`` indexed by histogram
    bucket.
    """

    counts: dict[str, int]
    latency: tuple[int, ...]
    cross_region_bytes: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RouteCounts:
    """Counters of one route on one node.

    ``timeline`` holds pairs of counted and good requests for each minute,
    newest first.
    """

    route: str
    importance: Importance
    short: PeriodCounts
    long: PeriodCounts
    timeline: tuple[tuple[int, int], ...]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeCounts:
    """Counters of one node.

    ``partial`` is set if they cover less than an hour, ``beyond_routes`` is
    the number of calls and attempts of routes beyond the node's limit.
    """

    node: str
    partial: bool
    beyond_routes: int
    routes: tuple[RouteCounts, ...]


def parse_report(document: object) -> NodeCounts:
    """Return the counters in the report of a node.

    Raises:
        ReportFormatError: a field is missing, malformed or inconsistent.
    """
    try:
        return _parse_node(_require_object(document))
    except (LookupError, TypeError, ValueError) as exc:
        raise ReportFormatError(f'invalid report: {exc!r}') from exc


def _require_object(document: object) -> Document:
    if isinstance(document, dict):
        return document
    raise TypeError(f'expected an object, found {type(document).__name__}')


def _parse_node(document: Document) -> NodeCounts:
    return NodeCounts(
        node=str(document['node']),
        partial=int(document['covered_ms']) < WINDOW_MS * WINDOW_COUNT,
        beyond_routes=int(document['calls_beyond_routes']),
        routes=tuple(_parse_route(route) for route in document['routes']),
    )


def _parse_route(document: Document) -> RouteCounts:
    return RouteCounts(
        route=str(document['route']),
        importance=Importance[str(document['importance']).upper()],
        short=_parse_period(document['short']),
        long=_parse_period(document['long']),
        timeline=tuple(
            (int(counted), int(good)) for counted, good in document['timeline']
        ),
    )


def _parse_period(document: Document) -> PeriodCounts:
    counts = {
        str(label): int(count)
        for label, count in _require_object(document['counts']).items()
    }
    ended = sum(counts.get(column.label, 0) for column in OUTCOME_COLUMNS)
    total = counts.get(Column.FRESH.label, 0)
    if ended != total:
        raise ValueError(f'outcome columns sum to {ended}, expected {total}')
    latency = tuple(int(count) for count in document['latency'])
    if len(latency) != BUCKET_COUNT:
        raise ValueError(
            f'found {len(latency)} latency buckets, expected {BUCKET_COUNT}'
        )
    return PeriodCounts(
        counts=counts,
        latency=latency,
        cross_region_bytes=int(document['cross_region_bytes']),
    )
