"""Composes the services of a sidecar, a node beside a platform worker."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.departures.departures import Departures
from savorystand.dispatch.announcements import Announcements
from savorystand.dispatch.inbound import Inbound
from savorystand.dispatch.load_publisher import LoadPublisher
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.parents import ParentInference
from savorystand.dispatch.target_notices import TargetNotices
from savorystand.gateway.idle_connections import RECEIVE_BYTES
from savorystand.gateway.request_protocol import RequestProtocol
from savorystand.gateway.server import HttpListener
from savorystand.gateway.target_client import TargetClient
from savorystand.kernel.kernel import Kernel
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.discovery import NodeDiscovery
from savorystand.membership.membership import Membership
from savorystand.membership.registration import Registration
from savorystand.memory.account import MemoryAccount
from savorystand.node.factories import dispatch_factories
from savorystand.node.factories import policy_factories
from savorystand.node.factories import state_factories
from savorystand.node.sidecar_shutdown import SidecarShutdown
from savorystand.platform.configuration import StoredConfiguration
from savorystand.platform.configuration import parse_configuration
from savorystand.platform.control import ControlEndpoints
from savorystand.platform.ingress import Ingress
from savorystand.platform.node_registry import StoredNodeRegistry
from savorystand.platform.row_client import RowClient
from savorystand.platform.worker_adapter import WorkerAdapter
from savorystand.reporting.call_log import CallLog
from savorystand.reporting.logs import EventLog
from savorystand.reporting.pauses import PauseLog
from savorystand.reporting.traffic import Traffic
from savorystand.reporting.traffic import TrafficLog
from savorystand.retry.budget import BudgetLimits
from savorystand.retry.policy import RetryPolicy
from savorystand.store.connections import ServiceConnections
from savorystand.store.generation import StoreGeneration
from savorystand.tables.follower import TablesFollower
from savorystand.transport.direct import DirectNetwork

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.platform.settings import PlatformSettings

# Fraction of the platform's drain time after which the node refuses work for a
# leaving target, so that calls already on their way arrive within that time.
_LEAVE_FRACTION = 0.5
# Fraction of the permitted retries that nodes use themselves. A call that is
# retried after it may have run repeats its downstream calls, which count
# against the retries of the pools further down the chain.
_RETRY_FRACTION = 0.6
# Number of nodes assumed to spend their saved retries on one pool at the same
# time. They share the operators' bound on saved retries.
_ASSUMED_SPENDING_NODES = 24
# Interval between checks of the node's own load. A shorter one is not worth its
# cost: each push goes to all callers, and responses carry the load anyway.
_LOAD_CHECK_INTERVAL_MS = 200
# The target and the platform keep connections for announcements and readiness
# checks.
_KEEP_ALIVE_TIMEOUT_SECONDS = 300
# A feed request is given up after this time. Others are sent beside it before,
# so it only bounds how slow a store may be that is still read.
_FEED_TIMEOUT_MS = 9500
# Part of the grace period that is left for the end of the process.
_EXIT_TIME_MS = 200


def build_sidecar(cfg: PlatformSettings, *, node_id: str) -> Kernel:
    """Return the kernel of a sidecar, ready to run.

    Services start in the order of their factories and stop in reverse order.
    """
    traffic = Traffic()
    factories: dict[str, Factory] = {
        'clock': lambda kernel: Clock(),
        'network': lambda kernel: DirectNetwork(),
        'traffic': lambda kernel: traffic,
        'log': lambda kernel: EventLog(
            clock=kernel.find('clock', Clock),
            node_id=node_id,
        ),
        'memory': lambda kernel: MemoryAccount.for_process(
            kernel, cfg.memory_mb
        ),
        **state_factories(cfg.node, node_id),
        'departures': lambda kernel: Departures(
            clock=kernel.find('clock', Clock),
            log=kernel.find('log', EventLog),
        ),
        'observer': lambda kernel: CallLog(kernel=kernel),
        'traffic log': lambda kernel: TrafficLog(kernel=kernel),
        'pause log': lambda kernel: PauseLog(kernel=kernel),
        **_store_factories(cfg, traffic),
        **policy_factories(),
        'retry': lambda kernel: RetryPolicy(
            limits=_budget_limits(cfg), passes_retries=False
        ),
        'local pool': lambda kernel: LocalPool(
            kernel=kernel, leave_delay_ms=cfg.drain_ms * _LEAVE_FRACTION
        ),
        'announcements': lambda kernel: Announcements(kernel=kernel),
        'notices': lambda kernel: TargetNotices(kernel=kernel),
        'target': lambda kernel: TargetClient(
            clock=kernel.find('clock', Clock),
            host=cfg.node.target.host,
            port=cfg.node.target.port,
            adapter=WorkerAdapter(kernel=kernel),
            account=kernel.find('memory', MemoryAccount),
            may_start=kernel.find('local pool', LocalPool).may_start,
        ),
        'parents': lambda kernel: ParentInference(kernel=kernel),
        'inbound': lambda kernel: Inbound(kernel=kernel, any_route=True),
        **dispatch_factories(node_id),
        'load publisher': lambda kernel: LoadPublisher(
            kernel=kernel, interval_ms=_LOAD_CHECK_INTERVAL_MS
        ),
        **_listener_factories(cfg),
    }
    kernel = Kernel(stop_timeout_ms=cfg.grace_ms - _EXIT_TIME_MS)
    for name, factory in factories.items():
        kernel.register(name, factory(kernel))
    return kernel


def _store_factories(
    cfg: PlatformSettings, traffic: Traffic
) -> dict[str, Factory]:
    generation = StoreGeneration()
    rows = RowClient(
        connections=ServiceConnections(
            address=cfg.store, key='', traffic=traffic
        ),
        generation=generation,
    )
    feed = RowClient(
        connections=ServiceConnections(
            address=cfg.store,
            key='',
            timeout_ms=_FEED_TIMEOUT_MS,
            traffic=traffic,
        ),
        generation=generation,
    )
    registry = StoredNodeRegistry(rows=rows)
    return {
        'store generation': lambda kernel: _share_generation(
            kernel, generation
        ),
        'follower': lambda kernel: TablesFollower(
            kernel=kernel,
            parse=parse_configuration,
            source=None,
            feed=StoredConfiguration(rows=feed),
            apply_ms=cfg.apply_ms,
        ),
        'registration': lambda kernel: Registration(
            kernel=kernel,
            registry=registry,
            address=cfg.node.peers,
            rng=random.Random(),
        ),
        'discovery': lambda kernel: NodeDiscovery(
            kernel=kernel,
            registry=registry,
            generation=generation,
            local_address=cfg.node.peers,
            contact=kernel.find('membership', Membership).contact,
            rng=random.Random(),
        ),
    }


def _share_generation(
    kernel: Kernel, generation: StoreGeneration
) -> StoreGeneration:
    # Few nodes read the store; the others hear of its generation from peers.
    confirmation = kernel.find('confirmation', StoreConfirmation)
    confirmation.add_generation_observer(generation.observe)
    return generation


def _listener_factories(cfg: PlatformSettings) -> dict[str, Factory]:
    return {
        'control listener': lambda kernel: HttpListener(
            app=ControlEndpoints(
                kernel=kernel, worker_address=cfg.node.target.text()
            ),
            host=cfg.readiness.host,
            port=cfg.readiness.port,
            extra_addresses=(cfg.announcements,),
            keep_alive_seconds=_KEEP_ALIVE_TIMEOUT_SECONDS,
        ),
        'caller listener': lambda kernel: HttpListener(
            app=Ingress(
                kernel=kernel,
                service=cfg.service,
                max_descriptors=cfg.max_descriptors,
            ),
            host=cfg.node.callers.host,
            port=cfg.node.callers.port,
            protocol=RequestProtocol,
            receive_bytes=RECEIVE_BYTES,
        ),
        'readiness': lambda kernel: SidecarShutdown(
            kernel=kernel, grace_ms=cfg.grace_ms
        ),
    }


def _budget_limits(cfg: PlatformSettings) -> BudgetLimits:
    return BudgetLimits(
        retry_fraction=cfg.retry_fraction * _RETRY_FRACTION,
        # Hedging is off: its timers cost a tenth of the processor time of a
        # call, and each hedge repeats all downstream calls.
        hedge_fraction=0,
        max_tokens=max(1, cfg.retry_slack / _ASSUMED_SPENDING_NODES),
    )
