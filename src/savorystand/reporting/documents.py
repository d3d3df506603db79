"""Reads the JSON documents that nodes report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TypeAlias
from typing import final

from savorystand.call import Importance
from savorystand.reporting.columns import PARTS
from savorystand.reporting.columns import Column
from savorystand.reporting.histogram import BUCKET_COUNT
from savorystand.reporting.series import WINDOW_COUNT
from savorystand.reporting.series import WINDOW_MS

Document: TypeAlias = dict[str, Any]


class ReportFormatError(Exception):
    """A node answered with something that is no report."""


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class PeriodCounts:
    """Counts by column label, latencies by bucket, and bytes."""

    counts: dict[str, int]
    latency: tuple[int, ...]
    cross_region_bytes: int


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class RouteCounts:
    """What one node counted of one route."""

    route: str
    importance: Importance
    short: PeriodCounts
    long: PeriodCounts
    timeline: tuple[tuple[int, int], ...]


@final
@dataclass(slots=True, kw_only=True, frozen=True)
class NodeCounts:
    """What one node counted; ``partial`` if for less than an hour."""

    node: str
    partial: bool
    beyond_routes: int
    routes: tuple[RouteCounts, ...]


def parse_report(document: object) -> NodeCounts:
    """Return the counters in the answer of a node.

    Raises:
        ReportFormatError: a part is missing or inconsistent.
    """
    try:
        return _node(_mapping(document))
    except (LookupError, TypeError, ValueError) as exc:
        raise ReportFormatError(f'no report: {exc!r}') from exc


def _mapping(document: object) -> Document:
    if isinstance(document, dict):
        return document
    raise TypeError(f'no object but {type(document).__name__}')


def _node(document: Document) -> NodeCounts:
    return NodeCounts(
        node=str(document['node']),
        partial=int(document['covered_ms']) < WINDOW_MS * WINDOW_COUNT,
        beyond_routes=int(document['calls_beyond_routes']),
        routes=tuple(_route(part) for part in document['routes']),
    )


def _route(document: Document) -> RouteCounts:
    return RouteCounts(
        route=str(document['route']),
        importance=Importance[str(document['importance']).upper()],
        short=_period(document['short']),
        long=_period(document['long']),
        timeline=tuple(
            (int(counted), int(good)) for counted, good in document['timeline']
        ),
    )


def _period(document: Document) -> PeriodCounts:
    counts = {
        str(label): int(count)
        for label, count in _mapping(document['counts']).items()
    }
    parts = sum(counts.get(part.label, 0) for part in PARTS)
    total = counts.get(Column.FRESH.label, 0)
    if parts != total:
        raise ValueError(f'parts sum to {parts}, not to {total}')
    latency = tuple(int(count) for count in document['latency'])
    if len(latency) != BUCKET_COUNT:
        raise ValueError(f'{len(latency)} latency buckets, not {BUCKET_COUNT}')
    return PeriodCounts(
        counts=counts,
        latency=latency,
        cross_region_bytes=int(document['cross_region_bytes']),
    )
