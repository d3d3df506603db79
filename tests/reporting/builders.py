"""Builders of calls, members, outcomes and counters for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok

from savorystand.call import Call
from savorystand.call import CallContext
from savorystand.call import Importance
from savorystand.call import Outcome
from savorystand.call import Response
from savorystand.membership.member import Member
from savorystand.membership.member import MemberState
from savorystand.reporting.documents import NodeCounts
from savorystand.reporting.documents import PeriodCounts
from savorystand.reporting.documents import RouteCounts
from savorystand.reporting.histogram import BUCKET_COUNT
from savorystand.tables.route import Route
from savorystand.transport.address import PeerAddress
from savorystand.verdict import MayHaveRun
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.reporting.columns import Column

ANSWERED: Outcome = Ok(Response(status=200, headers=(), body=b'done'))
OUTCOMES: tuple[Outcome | None, ...] = (
    None,
    ANSWERED,
    *(Error(NotRun(reason=reason)) for reason in Reason),
    *(Error(MayHaveRun(reason=reason)) for reason in Reason),
)


def call_of(
    name: str,
    *,
    importance: Importance = Importance.NORMAL,
    deadline_ms: float = 1e12,
    request_id: str = 'r1',
) -> Call:
    """Return a call of a route named ``name``."""
    return Call(
        context=CallContext(
            request_id=request_id,
            execution_id='',
            deadline_ms=deadline_ms,
            retries_left=2,
            importance=importance,
        ),
        route=Route(
            name=name,
            method='GET',
            path=f'/{name}',
            pool='refill',
            importance=importance,
            idempotent=True,
        ),
        method='GET',
        path=f'/{name}',
        headers=(),
        body=b'',
    )


def member_of(node_id: str, region: str = 'Lau') -> Member:
    """Return a member of pool ``refill`` that is serving."""
    return Member(
        peer=PeerAddress(node_id=node_id, host='127.0.0.1', port=9),
        started_ms=0,
        version=1,
        state=MemberState.SERVING,
        failure_domain=f'{region}-1',
        region=region,
        pool='refill',
    )


def node_counts(
    node: str,
    route: str,
    long: dict[Column, int],
    *,
    short: dict[Column, int] | None = None,
    importance: Importance = Importance.NORMAL,
) -> NodeCounts:
    """Return the counters of one route on one node."""
    return NodeCounts(
        node=node,
        partial=False,
        beyond_routes=0,
        routes=(
            RouteCounts(
                route=route,
                importance=importance,
                short=_period_counts(short or {}),
                long=_period_counts(long),
                timeline=((10, 9), (0, 0)),
            ),
        ),
    )


def _period_counts(counts: dict[Column, int]) -> PeriodCounts:
    return PeriodCounts(
        counts={column.label: count for column, count in counts.items()},
        latency=(1,) * BUCKET_COUNT,
        cross_region_bytes=5,
    )
