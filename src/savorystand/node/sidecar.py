"""Composes a node that runs beside a worker of the users' platform."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.dispatch.announcements import Announcements
from savorystand.dispatch.inbound import Inbound
from savorystand.dispatch.load_publisher import LoadPublisher
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.parents import ParentInference
from savorystand.gateway.request_protocol import RequestProtocol
from savorystand.gateway.server import HttpListener
from savorystand.gateway.target_client import TargetClient
from savorystand.kernel.kernel import Kernel
from savorystand.membership.discovery import NodeDiscovery
from savorystand.membership.membership import Membership
from savorystand.node.factories import dispatch_factories
from savorystand.node.factories import policy_factories
from savorystand.node.factories import state_factories
from savorystand.node.leaving import Leaving
from savorystand.platform.configuration import StoredConfiguration
from savorystand.platform.configuration import feed_timeout_ms
from savorystand.platform.configuration import parse_configuration
from savorystand.platform.connections import OPERATION_TIMEOUT_MS
from savorystand.platform.connections import ServiceConnections
from savorystand.platform.control import ControlRequests
from savorystand.platform.ingress import Ingress
from savorystand.platform.node_registry import NodeRows
from savorystand.platform.row_client import RowClient
from savorystand.platform.worker_adapter import WorkerAdapter
from savorystand.reporting.call_log import CallLog
from savorystand.reporting.logs import EventLog
from savorystand.retry.budget import BudgetLimits
from savorystand.retry.policy import RetryPolicy
from savorystand.tables.follower import TablesFollower
from savorystand.transport.direct import DirectNetwork

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.platform.settings import PlatformSettings

# Part of the time for which a leaving target may get work after which its own
# node refuses it: what is on its way by then still arrives in time.
_LEAVE_SHARE = 0.5
# Part of the shared retries that nodes plan with. A call repeated after it may
# have run repeats the calls that it makes, which count at deeper pools.
_RETRY_SHARE = 0.6
# Nodes that may spend saved-up retries on one pool at the same time.
_SPENDERS = 24
# Time between two looks at the own load. Each push goes to all callers, and
# answers carry the load anyway.
_PUSH_MS = 200
# The platform's clients keep idle connections for as long as the operator's
# limits allow; this node never closes one before them.
_KEEP_ALIVE_SECONDS = 300


def build_sidecar(cfg: PlatformSettings, *, node_id: str) -> Kernel:
    """Return the kernel of a node on the platform, ready to run."""
    factories: dict[str, Factory] = {
        'clock': lambda kernel: Clock(),
        'network': lambda kernel: DirectNetwork(),
        **state_factories(cfg.node, node_id),
        'log': lambda kernel: EventLog(
            clock=kernel.find('clock', Clock),
            node_id=node_id,
        ),
        'observer': lambda kernel: CallLog(kernel=kernel),
        **_store_factories(cfg),
        **policy_factories(),
        'retry': lambda kernel: RetryPolicy(
            limits=_budget_limits(cfg), passes_retries=False
        ),
        'local pool': lambda kernel: LocalPool(
            kernel=kernel, leave_delay_ms=cfg.drain_ms * _LEAVE_SHARE
        ),
        'announcements': lambda kernel: Announcements(kernel=kernel),
        'target': lambda kernel: TargetClient(
            clock=kernel.find('clock', Clock),
            host=cfg.node.target.host,
            port=cfg.node.target.port,
            adapter=WorkerAdapter(kernel=kernel),
        ),
        'parents': lambda kernel: ParentInference(kernel=kernel),
        'inbound': lambda kernel: Inbound(kernel=kernel, any_route=True),
        **dispatch_factories(node_id),
        'load publisher': lambda kernel: LoadPublisher(
            kernel=kernel, interval_ms=_PUSH_MS
        ),
        **_listener_factories(cfg),
    }
    kernel = Kernel()
    for name, factory in factories.items():
        kernel.register(name, factory(kernel))
    return kernel


def _store_factories(cfg: PlatformSettings) -> dict[str, Factory]:
    rows = RowClient(connections=ServiceConnections(address=cfg.store, key=''))
    feed = RowClient(
        connections=ServiceConnections(
            address=cfg.store,
            key='',
            timeout_ms=feed_timeout_ms(OPERATION_TIMEOUT_MS),
        )
    )
    return {
        'follower': lambda kernel: TablesFollower(
            kernel=kernel,
            parse=parse_configuration,
            source=None,
            feed=StoredConfiguration(rows=rows, feed=feed),
        ),
        'discovery': lambda kernel: NodeDiscovery(
            kernel=kernel,
            registry=NodeRows(rows=rows),
            own=cfg.node.peers,
            contact=kernel.find('membership', Membership).contact,
            rng=random.Random(),
        ),
    }


def _listener_factories(cfg: PlatformSettings) -> dict[str, Factory]:
    return {
        'control listener': lambda kernel: HttpListener(
            app=ControlRequests(
                kernel=kernel, worker_address=cfg.node.target.text()
            ),
            host=cfg.ready.host,
            port=cfg.ready.port,
            extra_addresses=(cfg.announcements,),
            keep_alive_seconds=_KEEP_ALIVE_SECONDS,
        ),
        'caller listener': lambda kernel: HttpListener(
            app=Ingress(kernel=kernel, service=cfg.service),
            host=cfg.node.callers.host,
            port=cfg.node.callers.port,
            keep_alive_seconds=_KEEP_ALIVE_SECONDS,
            protocol=RequestProtocol,
        ),
        'readiness': lambda kernel: Leaving(
            kernel=kernel, grace_ms=cfg.grace_ms
        ),
    }


def _budget_limits(cfg: PlatformSettings) -> BudgetLimits:
    return BudgetLimits(
        retry_fraction=cfg.retry_fraction * _RETRY_SHARE,
        # The timers of hedges cost each call a tenth of its processor time,
        # and each hedge repeats all calls below it.
        hedge_fraction=0,
        max_tokens=max(1, cfg.retry_slack / _SPENDERS),
    )
