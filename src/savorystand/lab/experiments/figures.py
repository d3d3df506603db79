"""Figures computed from records of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.callers.accounting import percentile

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.lab.callers.accounting import Record

_DIGITS = 4
_P99 = 0.99


def between(
    records: Iterable[Record], start_ms: float, stop_ms: float
) -> list[Record]:
    """Return the records whose intended time is in an interval."""
    return [
        record for record in records if start_ms <= record.intended_ms < stop_ms
    ]


def of_streams(records: Iterable[Record], *names: str) -> list[Record]:
    """Return the records of some streams."""
    return [record for record in records if record.stream in names]


def whole_share(records: list[Record]) -> float:
    """Return the share of whole answers, 0 without records."""
    whole = sum(record.whole for record in records)
    return round(whole / max(1, len(records)), _DIGITS)


def in_time_share(records: list[Record], deadline_ms: float) -> float:
    """Return the share of whole answers within a deadline."""
    good = sum(
        record.whole and record.latency_ms <= deadline_ms for record in records
    )
    return round(good / max(1, len(records)), _DIGITS)


def finished_rate(
    records: Iterable[Record], start_ms: float, stop_ms: float
) -> float:
    """Return the whole answers a second that end in an interval."""
    whole = sum(
        record.whole and start_ms <= record.finished_ms < stop_ms
        for record in records
    )
    return round(whole * MS_PER_SECOND / (stop_ms - start_ms), 2)


def p99_whole(records: Iterable[Record]) -> float:
    """Return the 99th percentile latency of whole answers in ms."""
    return percentile(
        [record.latency_ms for record in records if record.whole], _P99
    )


def verdicts(records: Iterable[Record]) -> dict[str, int]:
    """Return the number of records of each verdict."""
    counts: dict[str, int] = {}
    for record in records:
        counts[record.verdict] = counts.get(record.verdict, 0) + 1
    return counts


def recovery_ms(
    records: list[Record],
    *,
    from_ms: float,
    until_ms: float,
    wanted: float,
    window_ms: float = 500,
) -> float:
    """Return how long after ``from_ms`` goodput stays at ``wanted``.

    Goodput is the share of whole answers among the requests intended in a
    window, so that random arrivals do not count as a loss.
    """
    last_bad = from_ms
    start = from_ms
    while start < until_ms:
        window = between(records, start, start + window_ms)
        if window and whole_share(window) < wanted:
            last_bad = start + window_ms
        start += window_ms
    return last_bad - from_ms
