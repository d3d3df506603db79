"""Registers the reporting services of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.reporting.counters import Counters
from savorystand.reporting.endpoints import ReportEndpoints
from savorystand.reporting.explain import Decisions
from savorystand.reporting.logs import EventLog
from savorystand.reporting.reporter import CallReporter
from savorystand.reporting.statsd import StatsdSender
from savorystand.tables.holder import TableHolder

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import NodeSettings


def register_reporting(
    kernel: Kernel,
    cfg: NodeSettings,
    node_id: str,
) -> None:
    """Register counters, decisions, log, metrics and the observer.

    It has to run before the call path is built, which looks for ``observer``
    at construction, and after ``clock`` and ``tables``.
    """
    clock = kernel.find('clock', Clock)
    counters = Counters(clock=clock)
    kernel.register('counters', counters)
    kernel.register('decisions', Decisions(clock=clock))
    kernel.register('log', EventLog(clock=clock, node_id=node_id))
    sender = StatsdSender(clock=clock, counters=counters, address=cfg.statsd)
    kernel.register('metrics', sender)
    observer = CallReporter(kernel=kernel)
    kernel.register('observer', observer)
    kernel.find('tables', TableHolder).watch(observer.on_tables)


def install_endpoints(kernel: Kernel) -> None:
    """Serve status, report and explanations; ``admin`` has to exist."""
    ReportEndpoints(kernel=kernel).install()
