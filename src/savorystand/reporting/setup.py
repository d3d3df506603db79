"""Registers the reporting services of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.clock import Clock
from savorystand.reporting.counters import Counters
from savorystand.reporting.decisions import Decisions
from savorystand.reporting.reporter import CallReporter
from savorystand.reporting.statsd import StatsdSender
from savorystand.reporting.traffic import Traffic
from savorystand.tables.holder import TablesHolder

if TYPE_CHECKING:
    from savorystand.kernel.kernel import Factory
    from savorystand.kernel.kernel import Kernel
    from savorystand.settings.node import NodeSettings


def reporting_factories(cfg: NodeSettings) -> dict[str, Factory]:
    """Return the factories of the reporting services by service name.

    The kernel has to build these services after ``clock``, ``log`` and
    ``tables``, and before those that look up ``observer`` at construction.
    """
    return {
        'counters': lambda kernel: Counters(clock=kernel.find('clock', Clock)),
        'decisions': lambda kernel: Decisions(
            clock=kernel.find('clock', Clock),
        ),
        'metrics': lambda kernel: StatsdSender(
            clock=kernel.find('clock', Clock),
            counters=kernel.find('counters', Counters),
            traffic=kernel.find('traffic', Traffic),
            address=cfg.statsd,
        ),
        'observer': _build_observer,
    }


def _build_observer(kernel: Kernel) -> CallReporter:
    observer = CallReporter(kernel=kernel)
    kernel.find('tables', TablesHolder).add_observer(observer.on_tables)
    return observer
