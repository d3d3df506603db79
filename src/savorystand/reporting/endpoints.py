"""Administration endpoints for status, report and decisions, in JSON."""

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

# Number of 10 s windows in the short period (5 min) and in a point of the
# timeline (1 min). The long period is the whole ring (1 h).
SHORT_PERIOD_WINDOWS = 30
TIMELINE_POINT_WINDOWS = 6
_BAD_REQUEST = 400
_NOT_FOUND = 404


@runtime_checkable
class LoadSource(Protocol):
    """Interface to the load of the local target."""

    def load(self) -> TargetLoad:
        """Return the current load of the local target."""


class ReportEndpoints:
    """Serves the status, counters and recent decisions of the node."""

    __slots__ = ('_kernel',)

    def __init__(self, *, kernel: Kernel) -> None:
        """Look up the reported services in ``kernel`` at each request."""
        self._kernel = kernel

    def install(self) -> None:
        """Add the endpoints, protected by the administration key."""
        admin = self._kernel.find('admin', AdminEndpoints)
        admin.add_protected('GET /savorystand/status', self._status)
        admin.add_protected('GET /savorystand/report', self._report)
        admin.add_protected('GET /savorystand/explain', self._explain)

    def status(self) -> Document:
        """Return members, tables, limits, load and sizes as a JSON object."""
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
            'myself': _member_document(directory.local_member()),
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
                'windows': counters.allocated_windows(),
                'calls_beyond_routes': counters.overflow_count,
            },
            'members': [
                _member_document(member) for member in directory.members()
            ],
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
            'calls_beyond_routes': counters.overflow_count,
            'routes': [
                _route_document(name, series, newest)
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


def _member_document(member: Member) -> Document:
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


def _route_document(name: str, series: Series, newest: int) -> Document:
    return {
        'route': name,
        'importance': series.importance.name.lower(),
        'short': _period_document(series.sums(newest, SHORT_PERIOD_WINDOWS)),
        'long': _period_document(series.sums(newest, WINDOW_COUNT)),
        'timeline': series.timeline(newest, TIMELINE_POINT_WINDOWS),
    }


def _period_document(sums: Sums) -> Document:
    return {
        'counts': {
            column.label: sums.counts[column]
            for column in Column
            if sums.counts[column]
        },
        'latency': list(sums.latency),
        'cross_region_bytes': sums.cross_region_bytes,
    }
