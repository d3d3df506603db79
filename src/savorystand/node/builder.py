"""Composes the services of a standalone node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.deduplication.key_registry import KeyRegistry
from savorystand.deduplication.runner import KeyedRunner
from savorystand.departures.departures import Departures
from savorystand.dispatch.attempts import AttemptRunner
from savorystand.dispatch.inbound import Inbound
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.target_notices import TargetNotices
from savorystand.gateway.admin import AdminEndpoints
from savorystand.gateway.application import CallerSource
from savorystand.gateway.application import HttpApplication
from savorystand.gateway.application import TargetSource
from savorystand.gateway.server import HttpListener
from savorystand.gateway.target_client import TargetClient
from savorystand.kernel.kernel import Kernel
from savorystand.memory.account import MemoryAccount
from savorystand.node.factories import dispatch_factories
from savorystand.node.factories import policy_factories
from savorystand.node.factories import state_factories
from savorystand.node.networks import NETWORK
from savorystand.node.networks import listener_context
from savorystand.node.networks import network_factories
from savorystand.node.platform import platform_factories
from savorystand.node.shutdown import NodeShutdown
from savorystand.reporting.endpoints import ReportEndpoints
from savorystand.reporting.logs import EventLog
from savorystand.reporting.setup import reporting_factories
from savorystand.reporting.traffic import Traffic

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorystand.kernel.kernel import Factory
    from savorystand.settings.node import NodeSettings


def build_node(
    cfg: NodeSettings,
    *,
    node_id: str,
    replace: Mapping[str, Factory],
) -> Kernel:
    """Return the kernel of a standalone node, ready to run.

    Services start in the order of their factories and stop in reverse order.
    ``replace`` maps names of services to factories used instead of the normal
    ones, for instance to inject faults.

    Raises:
        CertificateError: a file of ``cfg.tls`` is missing or unusable.
    """
    factories = {
        'clock': lambda kernel: Clock(),
        **network_factories(cfg, replace),
        'log': lambda kernel: EventLog(
            clock=kernel.find('clock', Clock),
            node_id=node_id,
        ),
        'memory': lambda kernel: MemoryAccount.for_process(
            kernel, cfg.memory_mb
        ),
        **_state_factories(cfg, node_id),
        **reporting_factories(cfg),
        **policy_factories(),
        **_call_factories(cfg, node_id),
        **_listener_factories(cfg),
    }
    kernel = Kernel()
    replacements = {name: replace[name] for name in replace if name != NETWORK}
    for name, factory in factories.items():
        kernel.register(name, replacements.get(name, factory)(kernel))
    return kernel


def _state_factories(cfg: NodeSettings, node_id: str) -> dict[str, Factory]:
    traffic = Traffic()
    return {
        'traffic': lambda kernel: traffic,
        **state_factories(cfg, node_id),
        **platform_factories(cfg, node_id, traffic),
    }


def _call_factories(cfg: NodeSettings, node_id: str) -> dict[str, Factory]:
    return {
        'departures': lambda kernel: Departures(
            clock=kernel.find('clock', Clock),
            log=kernel.find('log', EventLog),
        ),
        'local pool': lambda kernel: LocalPool(kernel=kernel),
        'target': lambda kernel: TargetClient(
            clock=kernel.find('clock', Clock),
            host=cfg.target.host,
            port=cfg.target.port,
            account=kernel.find('memory', MemoryAccount),
            may_start=kernel.find('local pool', LocalPool).may_start,
        ),
        **dispatch_factories(node_id),
        'keys': lambda kernel: KeyedRunner(
            kernel=kernel,
            node_id=node_id,
            run_call=kernel.find('attempts', AttemptRunner).run,
            registry=KeyRegistry(),
        ),
        'notices': lambda kernel: TargetNotices(kernel=kernel),
        'inbound': lambda kernel: Inbound(kernel=kernel),
    }


def _listener_factories(cfg: NodeSettings) -> dict[str, Factory]:
    return {
        'admin': lambda kernel: AdminEndpoints(
            kernel=kernel,
            admin_key=cfg.admin_key,
        ),
        'endpoints': _report_endpoints,
        'local listener': lambda kernel: HttpListener(
            app=HttpApplication(kernel=kernel, source=TargetSource()),
            host=cfg.local.host,
            port=cfg.local.port,
        ),
        'caller listener': lambda kernel: HttpListener(
            app=HttpApplication(kernel=kernel, source=CallerSource()),
            host=cfg.callers.host,
            port=cfg.callers.port,
            tls=listener_context(kernel, cfg),
        ),
        'shutdown': lambda kernel: NodeShutdown(kernel=kernel),
    }


def _report_endpoints(kernel: Kernel) -> ReportEndpoints:
    endpoints = ReportEndpoints(kernel=kernel)
    endpoints.install()
    return endpoints
