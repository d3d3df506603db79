"""Composes the services of a node."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING

from savorystand.admission.queue import AdmissionQueue
from savorystand.clock import Clock
from savorystand.deduplication.claims import NoClaims
from savorystand.deduplication.ledger import KeyLedger
from savorystand.deduplication.runner import KeyedRunner
from savorystand.dispatch.attempts import Attempts
from savorystand.dispatch.dispatcher import Dispatcher
from savorystand.dispatch.inbound import Inbound
from savorystand.dispatch.local import LocalOrRemote
from savorystand.gateway.admin import AdminEndpoints
from savorystand.gateway.application import FromCallers
from savorystand.gateway.application import FromTarget
from savorystand.gateway.application import HttpApplication
from savorystand.gateway.server import HttpListener
from savorystand.gateway.target_client import TargetClient
from savorystand.kernel.kernel import Kernel
from savorystand.reporting.setup import install_endpoints
from savorystand.reporting.setup import register_reporting
from savorystand.retry.executions import ExecutionLedger
from savorystand.retry.policy import RetryPolicy
from savorystand.routing.router import Router
from savorystand.tables.holder import TableHolder
from savorystand.transport.address import PeerAddress
from savorystand.transport.network import Network
from savorystand.transport.peers import PeerTransport

if TYPE_CHECKING:
    from savorystand.membership.directory import Directory
    from savorystand.settings.node import NodeSettings
    from savorystand.transport.inbound import ControlPeer

_ID_BYTES = 8


def new_node_id() -> str:
    """Return the id of one life of a node: 64 random bits in hex."""
    return secrets.token_hex(_ID_BYTES)


def own_address(cfg: NodeSettings, node_id: str) -> PeerAddress:
    """Return the address that peers use for this node."""
    return PeerAddress(
        node_id=node_id,
        host=cfg.peers.host,
        port=cfg.peers.port,
    )


def build_node(
    cfg: NodeSettings,
    *,
    node_id: str,
    directory: Directory,
    control: ControlPeer,
) -> Kernel:
    """Return the kernel of a node, ready to run."""
    kernel = Kernel()
    kernel.register('clock', Clock())
    kernel.register('network', Network())
    kernel.register('tables', TableHolder())
    kernel.register('membership', directory)
    kernel.register('control', control)
    register_reporting(kernel, cfg, node_id)
    _register_policy(kernel)
    _register_path(kernel, cfg, node_id)
    _register_listeners(kernel, cfg)
    return kernel


def _register_policy(kernel: Kernel) -> None:
    clock = kernel.find('clock', Clock)
    kernel.register('executions', ExecutionLedger())
    kernel.register('admission', AdmissionQueue(clock=clock))
    kernel.register('retry', RetryPolicy())
    kernel.register('routing', Router(kernel=kernel, rng=random.Random()))


def _register_path(kernel: Kernel, cfg: NodeSettings, node_id: str) -> None:
    target = TargetClient(
        clock=kernel.find('clock', Clock),
        host=cfg.target.host,
        port=cfg.target.port,
    )
    kernel.register('target', target)
    kernel.register('inbound', Inbound(kernel=kernel))
    transport = PeerTransport(
        kernel=kernel,
        host=cfg.peers.host,
        port=cfg.peers.port,
    )
    kernel.register('transport', transport)
    kernel.register('peers', LocalOrRemote(kernel=kernel, node_id=node_id))
    kernel.register('claims', NoClaims())
    attempts = Attempts(kernel=kernel)
    keys = KeyedRunner(
        kernel=kernel,
        node_id=node_id,
        attempts=attempts.run,
        ledger=KeyLedger(),
    )
    kernel.register('keys', keys)
    kernel.register('dispatcher', Dispatcher(kernel=kernel, attempts=attempts))


def _register_listeners(kernel: Kernel, cfg: NodeSettings) -> None:
    admin = AdminEndpoints(kernel=kernel, admin_key=cfg.admin_key)
    kernel.register('admin', admin)
    install_endpoints(kernel)
    local = HttpListener(
        app=HttpApplication(kernel=kernel, origin=FromTarget()),
        host=cfg.local.host,
        port=cfg.local.port,
    )
    kernel.register('local listener', local)
    callers = HttpListener(
        app=HttpApplication(kernel=kernel, origin=FromCallers()),
        host=cfg.callers.host,
        port=cfg.callers.port,
    )
    kernel.register('caller listener', callers)
