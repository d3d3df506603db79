"""The check of LOST around a SIGTERM of the machine at which clients send.

A request counts if its worker was at work and its client got no answer of that
worker. It doesn't count if its time limit or the route's timeout was reached,
if the worker broke off, if it was sent later than 3 s after the signal, or if
the worker was still at work in the last sixth of the grace period.
"""

from __future__ import annotations

from stage_3.record import Record

GRACE_S = 6.0
_LATEST_S = 3.0
_LAST_PART_S = GRACE_S / 6


def cut_requests(
    record: Record, ids: list[str], signal_at: float, limit_s: float
) -> list[str]:
    """Return the ids of requests that were cut after the signal."""
    return [
        request_id
        for request_id in ids
        if _is_cut(record, request_id, signal_at, limit_s)
    ]


def _is_cut(
    record: Record, request_id: str, signal_at: float, limit_s: float
) -> bool:
    by_kind = {
        entry.kind: entry
        for entry in record.entries
        if entry.subject == request_id
    }
    sent = by_kind['sent']
    answer = by_kind.get('answered')
    if answer is not None and answer.details['signature']:
        return False
    end = answer or by_kind.get('unanswered')
    if end is None or 'run' not in by_kind:
        return False
    if sent.at > signal_at + _LATEST_S or end.at >= sent.at + limit_s:
        return False
    # The last sixth of the grace period.
    return signal_at <= end.at < signal_at + GRACE_S - _LAST_PART_S
