"""Figures computed from the request records of the callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.callers.accounting import percentile

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorystand.lab.callers.accounting import Record

_SHARE_DIGITS = 4
_P99 = 0.99


def intended_between(
    records: Iterable[Record], start_ms: float, stop_ms: float
) -> list[Record]:
    """Return the records with an intended send time in an interval."""
    return [
        record for record in records if start_ms <= record.intended_ms < stop_ms
    ]


def stream_records(records: Iterable[Record], *names: str) -> list[Record]:
    """Return the records of the named streams."""
    return [record for record in records if record.stream in names]


def whole_share(records: list[Record]) -> float:
    """Return the share of complete responses, 0 if there are no records."""
    whole = sum(record.whole for record in records)
    return round(whole / max(1, len(records)), _SHARE_DIGITS)


def within_deadline_share(records: list[Record], deadline_ms: float) -> float:
    """Return the share of complete responses within a deadline."""
    in_time = sum(
        record.whole and record.latency_ms <= deadline_ms for record in records
    )
    return round(in_time / max(1, len(records)), _SHARE_DIGITS)


def goodput_per_second(
    records: Iterable[Record], start_ms: float, stop_ms: float
) -> float:
    """Return the complete responses per second that end in an interval."""
    whole = sum(
        record.whole and start_ms <= record.finished_ms < stop_ms
        for record in records
    )
    return round(whole * MS_PER_SECOND / (stop_ms - start_ms), 2)


def p99_latency_ms(records: Iterable[Record]) -> float:
    """Return the 99th percentile of the latency of complete responses."""
    return percentile(
        [record.latency_ms for record in records if record.whole], _P99
    )


def count_verdicts(records: Iterable[Record]) -> dict[str, int]:
    """Return the number of records by verdict."""
    counts: dict[str, int] = {}
    for record in records:
        counts[record.verdict] = counts.get(record.verdict, 0) + 1
    return counts


def recovery_ms(
    records: list[Record],
    *,
    from_ms: float,
    until_ms: float,
    min_share: float,
    window_ms: float = 500,
) -> float:
    """Return the time from ``from_ms`` until goodput stays at ``min_share``.

    Goodput is the share of complete responses among the requests that are
    intended in a window, not a rate: random gaps between arrivals do not
    count as a loss.
    """
    last_loss_ms = from_ms
    window_start_ms = from_ms
    while window_start_ms < until_ms:
        window = intended_between(
            records, window_start_ms, window_start_ms + window_ms
        )
        if window and whole_share(window) < min_share:
            last_loss_ms = window_start_ms + window_ms
        window_start_ms += window_ms
    return last_loss_ms - from_ms
