"""Promises that a soak checks from what callers and targets have seen."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from savorystand.clock import MS_PER_SECOND
from savorystand.lab.soak.history import STORE
from savorystand.lab.soak.history import Cause
from savorystand.lab.soak.late_responses import late_responses

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorystand.lab.soak.history import Arrival
    from savorystand.lab.soak.history import ConfigurationChange
    from savorystand.lab.soak.history import Exchange
    from savorystand.lab.soak.history import History
    from savorystand.lab.soak.history import LimitChange

# Time after a disturbance in which it still excuses a node.
CONTACT_MS = 3000
DRAIN_MS = 2500
APPLY_MS = 2500
_NOT_FOUND = 404
DEADLINE_MS = 2000
_WINDOW_MS = 4000
_TOLD_MS = 500
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
_SAMPLE_MS = 50
_REFUSED_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
# A request that has used this share of its time may be cut.
_LATE_FRACTION = 0.7
_MAX_UNEXPLAINED_CUTS = 3
_MIN_RECOVERED_SHARE = 0.9
# What a target does to its connections explains every lost response.
_UNPLANNED = frozenset(Cause) - {Cause.STOP, Cause.RELOAD}


def violations(history: History) -> list[str]:
    """Return a line for each promise that was broken."""
    found = [
        *(f'unsolicited: {one}' for one in history.unsolicited),
        *(f'exit: node {node} code {code}' for node, code in history.exits),
    ]
    for exchange in history.exchanges.values():
        found.extend(_check_exchange(exchange))
        found.extend(_check_departure(history, exchange))
    found.extend(_check_cuts(history))
    found.extend(
        late_responses(history, deadline_ms=DEADLINE_MS, contact_ms=CONTACT_MS)
    )
    found.extend(_check_configurations(history))
    for instance, changes in history.limits.items():
        if changes:
            found.extend(_check_limit(history, instance, changes))
    return found


def recovery_violations(
    history: History, start_ms: float, end_ms: float
) -> list[str]:
    """Return a line if too few requests of a time span were served."""
    late = [
        one
        for one in history.exchanges.values()
        if start_ms <= one.sent_ms < end_ms
    ]
    served = sum(one.status == _OK for one in late)
    if late and served >= _MIN_RECOVERED_SHARE * len(late):
        return []
    return [f'recovery: {served} of {len(late)} requests served']


def _check_exchange(exchange: Exchange) -> Iterator[str]:
    name = exchange.label
    if not exchange.is_genuine:
        yield f'foreign: {name} got bytes of another response'
    if exchange.runs > 1 and not exchange.idempotent:
        yield f'twice: {name} ran {exchange.runs} times'
    if exchange.status in _REFUSED_STATUSES and exchange.runs:
        yield f'refused: {name} got {exchange.status} but ran'
    for arrival in exchange.arrivals:
        if arrival.ran and arrival.pool not in {'', exchange.pool}:
            yield f'route: {name} ran at {arrival.instance} of {arrival.pool}'
    if exchange.status == _OK and not exchange.runs:
        yield f'foreign: {name} was answered but did not run'


def _check_departure(history: History, exchange: Exchange) -> Iterator[str]:
    for arrival in exchange.arrivals:
        told_ms = arrival.leaving_told_ms
        is_late = exchange.sent_ms > told_ms + DRAIN_MS
        causes = history.causes(exchange.node, told_ms, arrival.at_ms)
        if is_late and Cause.FREEZE not in causes:
            yield _departure_line(exchange, arrival, told_ms, 'told')
        acknowledged_ms = history.acknowledged.get(arrival.instance, math.inf)
        is_late = exchange.sent_ms > acknowledged_ms + DRAIN_MS
        if is_late and not _is_disturbed(history, exchange, arrival):
            yield _departure_line(
                exchange, arrival, acknowledged_ms, 'acknowledged'
            )


def _departure_line(
    exchange: Exchange, arrival: Arrival, since_ms: float, how: str
) -> str:
    late_ms = round(exchange.sent_ms - since_ms)
    return (
        f'leaving: {exchange.label} reached {arrival.instance}, '
        f'sent {late_ms} ms after its departure was {how}'
    )


def _is_disturbed(
    history: History, exchange: Exchange, arrival: Arrival
) -> bool:
    since_ms = exchange.sent_ms - CONTACT_MS
    causes = history.causes(exchange.node, since_ms, arrival.at_ms)
    return bool(causes - {Cause.TARGET})


def _check_configurations(history: History) -> Iterator[str]:
    for request_id, change in history.probed.items():
        exchange = history.exchanges[request_id]
        age_ms = round(exchange.sent_ms - change.at_ms)
        if exchange.status != _NOT_FOUND or age_ms <= APPLY_MS:
            continue
        if not _may_be_unknown(history, exchange, change):
            yield (
                f'configuration: {request_id} refused, version '
                f'{change.version} was accepted {age_ms} ms before'
            )


def _may_be_unknown(
    history: History, exchange: Exchange, change: ConfigurationChange
) -> bool:
    """Return True if a later version or a disturbance excuses the answer.

    A later version does not have the route, and may be in force before the
    answer of the store to it arrives.
    """
    is_replaced = any(
        later.version > change.version and later.sent_ms <= exchange.ended_ms
        for later in history.configurations
    )
    since_ms = exchange.sent_ms - CONTACT_MS
    causes = {
        cause
        for node in (exchange.node, STORE)
        for cause in history.causes(node, since_ms, exchange.ended_ms)
    }
    return is_replaced or bool(causes - {Cause.TARGET})


def _check_cuts(history: History) -> Iterator[str]:
    unexplained: list[str] = []
    for exchange in history.exchanges.values():
        causes = _cut_causes(history, exchange)
        if causes is None or causes & _UNPLANNED:
            continue
        line = f'cut: {exchange.label} had run and got no response'
        if causes:
            yield line
        else:
            unexplained.append(line)
    if len(unexplained) > _MAX_UNEXPLAINED_CUTS:
        yield from unexplained


def _cut_causes(history: History, exchange: Exchange) -> set[Cause] | None:
    """Return what disturbed a request that was cut, None if none was."""
    duration_ms = exchange.ended_ms - exchange.sent_ms
    if exchange.status or not exchange.runs:
        return None
    if duration_ms > _LATE_FRACTION * DEADLINE_MS:
        return None
    nodes = {exchange.node, *(one.node for one in exchange.arrivals)}
    since_ms = exchange.sent_ms - CONTACT_MS
    return {
        cause
        for node in nodes
        for cause in history.causes(node, since_ms, exchange.ended_ms)
    }


def _check_limit(
    history: History, instance: str, changes: list[LimitChange]
) -> Iterator[str]:
    first_ms = changes[0].at_ms + CONTACT_MS
    times = sorted(
        arrival.at_ms
        for exchange in history.exchanges.values()
        for arrival in exchange.arrivals
        if arrival.instance == instance
        and arrival.at_ms >= first_ms
        and arrival.limit_told_ms <= arrival.at_ms - _TOLD_MS
        and not _is_disturbed(history, exchange, arrival)
    )
    for position, start_ms in enumerate(times):
        allowed = _allowed(changes, start_ms)
        count = sum(at_ms < start_ms + _WINDOW_MS for at_ms in times[position:])
        if count > allowed:
            yield (
                f'limit: {count} requests reached {instance} in 4 s, '
                f'{allowed:.0f} allowed'
            )
            return


def _allowed(changes: list[LimitChange], start_ms: float) -> float:
    """Return the requests allowed in a window, infinity if it is not limited.

    A limit counts from half a second after it was named.
    """
    total = float(0)
    for offset_ms in range(0, _WINDOW_MS, _SAMPLE_MS):
        at_ms = start_ms + offset_ms
        rates = _rates(changes, at_ms - _TOLD_MS, at_ms)
        total += max(rates, default=math.inf) * _SAMPLE_MS / MS_PER_SECOND
    return total * _LIMIT_FACTOR + _LIMIT_SLACK


def _rates(
    changes: list[LimitChange], start_ms: float, end_ms: float
) -> list[float]:
    rates: list[float] = []
    following = [*(change.at_ms for change in changes[1:]), math.inf]
    for change, next_ms in zip(changes, following, strict=True):
        if change.at_ms <= end_ms and next_ms >= start_ms:
            limit = change.per_second
            rates.append(math.inf if limit is None else limit)
    return rates


def counts(history: History) -> dict[str, int]:
    """Return the number of exchanges by status, and of disturbances."""
    numbers: dict[str, int] = defaultdict(int)
    for exchange in history.exchanges.values():
        numbers[f'status {exchange.status}'] += 1
    for disturbance in history.disturbances:
        numbers[disturbance.cause.value] += 1
    return dict(numbers)
