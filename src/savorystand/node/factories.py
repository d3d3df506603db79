"""Factories of the services that every kind of node has."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.rate_limit import RateLimit
from savorystand.clock import Clock
from savorystand.dispatch.attempts import AttemptRunner
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.load_publisher import LoadPublisher
from savorystand.dispatch.peer_dispatcher import PeerDispatcher
from savorystand.membership.confirmation import StoreConfirmation
from savorystand.membership.directory import FailureObserver
from savorystand.membership.membership import Membership
from savorystand.retry.executions import ExecutionRegistry
from savorystand.retry.policy import RetryPolicy
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.routing.router import Router
from savorystand.tables.holder import TablesHolder
from savorystand.transport.inbound import ControlResponder
from savorystand.transport.peers import PeerTransport
from savorystand.trust.datagram_authenticator import DatagramAuthenticator

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import NodeSettings


def state_factories(cfg: NodeSettings, node_id: str) -> dict[str, Factory]:
    """Return the factories of tables, peer transport and membership."""
    return {
        'tables': lambda kernel: TablesHolder(),
        'transport': lambda kernel: PeerTransport(
            kernel=kernel,
            host=cfg.peers.host,
            port=cfg.peers.port,
        ),
        'datagram authenticator': lambda kernel: DatagramAuthenticator(
            admin_key=cfg.admin_key
        ),
        'confirmation': lambda kernel: StoreConfirmation(
            clock=kernel.find('clock', Clock)
        ),
        'membership': lambda kernel: Membership(
            kernel=kernel,
            cfg=cfg,
            node_id=node_id,
        ),
        'control': lambda kernel: kernel.find('membership', ControlResponder),
    }


def policy_factories() -> dict[str, Factory]:
    """Return the factories of admission, retries and routing."""
    return {
        'executions': lambda kernel: ExecutionRegistry(),
        'admission': lambda kernel: AdmissionQueue(
            clock=kernel.find('clock', Clock),
        ),
        'rate limit': lambda kernel: RateLimit(
            clock=kernel.find('clock', Clock),
        ),
        'retry': lambda kernel: RetryPolicy(),
        'downstream overload': lambda kernel: DownstreamOverload(
            clock=kernel.find('clock', Clock),
        ),
        'routing': _create_router,
    }


def dispatch_factories(node_id: str) -> dict[str, Factory]:
    """Return the factories of the services that send calls to targets."""
    return {
        'peers': lambda kernel: PeerDispatcher(kernel=kernel, node_id=node_id),
        'attempts': lambda kernel: AttemptRunner(kernel=kernel),
        'dispatcher': lambda kernel: Dispatcher(kernel=kernel),
        'load publisher': lambda kernel: LoadPublisher(kernel=kernel),
    }


def _create_router(kernel: Kernel) -> Router:
    membership = kernel.find('membership', FailureObserver)
    router = Router(
        kernel=kernel,
        rng=random.Random(),
        on_failure=membership.observe_failure,
    )
    # Loads in responses reach the router with the outcome of the call; loads
    # in refusals reach it only through this observer.
    transport = kernel.find('transport', PeerTransport)
    transport.add_load_observer(router.observe_load)
    return router
