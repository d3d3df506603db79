"""Status, report and explanations as JSON."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias
from typing import runtime_checkable

from savorystand.deduplication.runner import KeyedRunner
from savorystand.gateway.admin import AdminEndpoints
from savorystand.gateway.admin import Query
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.asgi import json_response
from savorystand.membership.directory import MemberDirectory
from savorystand.reporting.columns import Column
from savorystand.reporting.counters import Counters
from savorystand.reporting.decisions import Decisions
from savorystand.reporting.series import WINDOW_COUNT
from savorystand.tables.holder import TablesHolder
from savorystand.trust.datagram_authenticator import DatagramAuthenticator

if TYPE_CHECKING:
    from savorystand.call import TargetLoad
    from savorystand.kernel.kernel import Kernel
    from savorystand.membership.member import Member
    from savorystand.reporting.series import Series
    from savorystand.reporting.series import Sums

Document: TypeAlias = dict[str, object]

# Windows of 10 s in the short period (5 min) and in a point of the timeline
# (1 min). The long period is the whole ring.
SHORT_WINDOWS = 30
POINT_WINDOWS = 6
_BAD_REQUEST = 400
_NOT_FOUND = 404


@runtime_checkable
class LoadSource(Protocol):
    """What the status asks of admission."""

    def load(self) -> TargetLoad:
        """Return the present load of the local target."""


class ReportEndpoints:
    """Serves what the node knows of itself, its members and its calls."""

    __slots__ = ('_kernel',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Find what is reported in ``kernel`` at each request."""
        self._kernel = kernel

    def install(self) -> None:
        """Add the endpoints, protected by the administration key."""
        admin = self._kernel.find('admin', AdminEndpoints)
        admin.protect('GET /savorystand/status', self._status)
        admin.protect('GET /savorystand/report', self._report)
        admin.protect('GET /savorystand/explain', self._explain)

    def status(self) -> Document:
        """Return members, revisions, limits, load and sizes."""
        directory = self._kernel.find('membership', MemberDirectory)
        tables = self._kernel.find('tables', TablesHolder).current()
        keys = self._kernel.find('keys', KeyedRunner)
        load = self._kernel.find('admission', LoadSource).load()
        counters = self._kernel.find('counters', Counters)
        authenticator = self._kernel.find(
            'datagram authenticator', DatagramAuthenticator
        )
        pools = [asdict(pool) for pool in tables.pools]
        return {
            'node': directory.local_member().peer.node_id,
            'myself': _member(directory.local_member()),
            'tables': {
                'revision': tables.revision,
                'change_id': tables.change_id,
            },
            'limits': pools,
            'admission': asdict(load),
            'keys': {
                'remembered': keys.remembered(),
                'running': keys.running(),
            },
            'datagrams': {'wrong_tag': authenticator.rejected},
            'counters': {
                'windows': counters.windows(),
                'calls_beyond_routes': counters.overflowed,
            },
            'members': [_member(member) for member in directory.members()],
        }

    def report(self) -> Document:
        """Return the counters of the last hour and the last 5 minutes."""
        counters = self._kernel.find('counters', Counters)
        local_member = self._kernel.find(
            'membership', MemberDirectory
        ).local_member()
        newest = counters.window()
        return {
            'node': local_member.peer.node_id,
            'region': local_member.region,
            'failure_domain': local_member.failure_domain,
            'covered_ms': int(counters.covered_ms()),
            'calls_beyond_routes': counters.overflowed,
            'routes': [
                _route(name, series, newest)
                for name, series in counters.routes()
            ],
        }

    def _status(self, query: Query) -> HttpResponse:
        return json_response(self.status())

    def _report(self, query: Query) -> HttpResponse:
        return json_response(self.report())

    def _explain(self, query: Query) -> HttpResponse:
        request_id = query.get('request', [''])[0]
        if not request_id:
            error = {'error': 'request missing'}
            return json_response(error, status=_BAD_REQUEST)
        directory = self._kernel.find('membership', MemberDirectory)
        decisions = self._kernel.find('decisions', Decisions)
        node_id = directory.local_member().peer.node_id
        found = decisions.explain(request_id)
        if found is None:
            error = {'error': 'request not known', 'node': node_id}
            return json_response(error, status=_NOT_FOUND)
        return json_response({'node': node_id, **found})


def _member(member: Member) -> Document:
    peer = member.peer
    return {
        'node': peer.node_id,
        'address': f'{peer.host}:{peer.port}',
        'state': member.state.name.lower(),
        'failure_domain': member.failure_domain,
        'region': member.region,
        'pool': member.pool,
        'revision': member.revision,
    }


def _route(name: str, series: Series, newest: int) -> Document:
    return {
        'route': name,
        'importance': series.importance.name.lower(),
        'short': _sums(series.sums(newest, SHORT_WINDOWS)),
        'long': _sums(series.sums(newest, WINDOW_COUNT)),
        'timeline': series.timeline(newest, POINT_WINDOWS),
    }


def _sums(sums: Sums) -> Document:
    return {
        'counts': {
            column.label: sums.counts[column]
            for column in Column
            if sums.counts[column]
        },
        'latency': list(sums.latency),
        'cross_region_bytes': sums.cross_region_bytes,
    }
